package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * One setting.
 *
 * @param name its name
 * @param type what it may hold
 * @param need whether it must be stated
 * @param fallback the value when it is not stated; empty for none
 * @param doc a sentence for operators
 */
record Field(String name, FieldType type, Need need, Optional<JsonNode> fallback, String doc) {
    /** Whether a setting must be stated. */
    enum Need {
        REQUIRED,
        OPTIONAL
    }

    static Field required(String name, FieldType type, String doc) {
        return new Field(name, type, Need.REQUIRED, Optional.empty(), doc);
    }

    static Field optional(String name, FieldType type, String doc) {
        return new Field(name, type, Need.OPTIONAL, Optional.empty(), doc);
    }

    /** Makes a setting with a default, given as JSON. */
    static Field withDefault(String name, FieldType type, String json, String doc) {
        return new Field(name, type, Need.OPTIONAL, Optional.of(JsonText.constant(json)), doc);
    }
}
