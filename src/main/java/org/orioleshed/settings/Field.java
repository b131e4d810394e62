package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A setting of the schema.
 *
 * @param name the setting's name
 * @param type the type of its value
 * @param presence whether it must be set
 * @param defaultValue the value if it is not set; empty for none
 * @param description a sentence for the documentation
 */
record Field(
        String name,
        FieldType type,
        Presence presence,
        Optional<JsonNode> defaultValue,
        String description) {
    /** Whether a setting must be set. */
    enum Presence {
        REQUIRED,
        OPTIONAL
    }

    static Field required(String name, FieldType type, String description) {
        return new Field(name, type, Presence.REQUIRED, Optional.empty(), description);
    }

    static Field optional(String name, FieldType type, String description) {
        return new Field(name, type, Presence.OPTIONAL, Optional.empty(), description);
    }

    /** Creates an optional setting with a default value, given as JSON. */
    static Field withDefault(String name, FieldType type, String json, String description) {
        return new Field(
                name, type, Presence.OPTIONAL, Optional.of(JsonText.constant(json)), description);
    }
}
