package org.orioleshed.settings;

import java.util.List;

/** The type of a setting's value. */
sealed interface FieldType {
    /** Returns a phrase that describes the allowed values, for operators. */
    String allowed();

    /** A non-blank string of limited length. */
    record Text() implements FieldType {
        @Override
        public String allowed() {
            return "text, 1 to 200 characters";
        }
    }

    /** An integer from {@code min} to {@code max}, both inclusive. */
    record IntegerRange(long min, long max) implements FieldType {
        @Override
        public String allowed() {
            return "an integer from " + min + " to " + max;
        }
    }

    /** A number from {@code min} to {@code max}, both inclusive. */
    record NumberRange(double min, double max) implements FieldType {
        @Override
        public String allowed() {
            return "a number from " + min + " to " + max;
        }
    }

    /** A boolean. */
    record Bool() implements FieldType {
        @Override
        public String allowed() {
            return "true or false";
        }
    }

    /** One of a fixed set of strings. */
    record Choice(List<String> values) implements FieldType {
        @Override
        public String allowed() {
            return "one of " + String.join(", ", values);
        }
    }

    /** A base URL with the scheme http or https. */
    record HttpUrl() implements FieldType {
        @Override
        public String allowed() {
            return "an http or https URL such as http://127.0.0.1:9001";
        }
    }

    /** An IP address and a port. */
    record HostPort() implements FieldType {
        @Override
        public String allowed() {
            return "an IP address and port such as 127.0.0.1:8001";
        }
    }

    /** A SHA-256 hash in hexadecimal. */
    record KeyHash() implements FieldType {
        @Override
        public String allowed() {
            return "the SHA-256 of a key, 64 lower-case hexadecimal digits";
        }
    }

    /** A time of day. */
    record TimeOfDay() implements FieldType {
        @Override
        public String allowed() {
            return "a time of day such as 20:00";
        }
    }

    /** A time zone. */
    record TimeZone() implements FieldType {
        @Override
        public String allowed() {
            return "a time zone such as Pacific/Fiji";
        }
    }

    /** A list with elements of one type. */
    record ListOf(FieldType element) implements FieldType {
        @Override
        public String allowed() {
            return "a list, each " + element.allowed();
        }
    }

    /** An object with a fixed set of fields. */
    record Group(List<Field> fields) implements FieldType {
        public Group {
            fields = List.copyOf(fields);
        }

        static Group of(Field... fields) {
            return new Group(List.of(fields));
        }

        List<String> fieldNames() {
            return fields.stream().map(Field::name).toList();
        }

        Field field(String name) {
            for (Field field : fields) {
                if (field.name().equals(name)) {
                    return field;
                }
            }
            return null;
        }

        @Override
        public String allowed() {
            return "an object with " + String.join(", ", fieldNames());
        }
    }

    /** An object whose keys are chosen by operators. */
    record MapOf(String keyKind, FieldType value) implements FieldType {
        @Override
        public String allowed() {
            return "an object keyed by " + keyKind;
        }
    }

    /** A tree of branches whose items inherit the defaults of the branches above them. */
    record TreeOf(String keyKind, Group item) implements FieldType {
        static final String DEFAULTS = "defaults";
        static final String BRANCHES = "branches";
        static final String ITEMS = "items";
        static final List<String> PARTS = List.of(DEFAULTS, BRANCHES, ITEMS);

        @Override
        public String allowed() {
            return "an object with defaults, branches, items (keyed by " + keyKind + ")";
        }
    }
}
