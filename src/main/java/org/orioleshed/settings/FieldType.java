package org.orioleshed.settings;

import java.util.List;

/** What a setting may hold. */
sealed interface FieldType {
    /** Returns what is allowed, as a phrase for operators. */
    String allowed();

    /** A name or another short text that is not blank. */
    record Text() implements FieldType {
        @Override
        public String allowed() {
            return "text, 1 to 200 characters";
        }
    }

    /** A whole number within bounds, both included. */
    record Whole(long min, long max) implements FieldType {
        @Override
        public String allowed() {
            return "a whole number from " + min + " to " + max;
        }
    }

    /** A number within bounds, both included. */
    record Fraction(double min, double max) implements FieldType {
        @Override
        public String allowed() {
            return "a number from " + min + " to " + max;
        }
    }

    /** True or false. */
    record Flag() implements FieldType {
        @Override
        public String allowed() {
            return "true or false";
        }
    }

    /** One of a few words. */
    record Choice(List<String> words) implements FieldType {
        @Override
        public String allowed() {
            return "one of " + String.join(", ", words);
        }
    }

    /** A base address. */
    record HttpAddress() implements FieldType {
        @Override
        public String allowed() {
            return "an address such as http://127.0.0.1:9001";
        }
    }

    /** An IP number and a port. */
    record HostPort() implements FieldType {
        @Override
        public String allowed() {
            return "an IP number and port such as 127.0.0.1:8001";
        }
    }

    /** A SHA-256 digest. */
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
    record Zone() implements FieldType {
        @Override
        public String allowed() {
            return "a time zone such as Pacific/Fiji";
        }
    }

    /** A list. */
    record ListOf(FieldType element) implements FieldType {
        @Override
        public String allowed() {
            return "a list, each " + element.allowed();
        }
    }

    /** An object of known fields. */
    record Group(List<Field> fields) implements FieldType {
        public Group {
            fields = List.copyOf(fields);
        }

        static Group of(Field... fields) {
            return new Group(List.of(fields));
        }

        List<String> names() {
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
            return "an object with " + String.join(", ", names());
        }
    }

    /** An object whose names the operators choose. */
    record MapOf(String nameOf, FieldType value) implements FieldType {
        @Override
        public String allowed() {
            return "an object by " + nameOf;
        }
    }

    /** A tree of branches whose items inherit. */
    record TreeOf(String nameOf, Group item) implements FieldType {
        static final String DEFAULTS = "defaults";
        static final String BRANCHES = "branches";
        static final String ITEMS = "items";
        static final List<String> PARTS = List.of(DEFAULTS, BRANCHES, ITEMS);

        @Override
        public String allowed() {
            return "an object with defaults, branches, items (by " + nameOf + ")";
        }
    }
}
