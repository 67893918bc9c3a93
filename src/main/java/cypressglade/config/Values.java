package cypressglade.config;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/** Values of a document by path; each reader names the path of what it cannot use. */
final class Values {
    private final String what;
    private final Map<String, String> values;

    Values(String what, Map<String, String> values) {
        this.what = what;
        this.values = values;
    }

    /**
     * The values of an operator's file; nothing where it is not there or says that its part is off.
     */
    static Optional<Values> ifEnabled(Path path) throws ConfigException {
        return Files.exists(path)
                ? ifEnabled(path.toString(), Config.bytes(path))
                : Optional.empty();
    }

    static Optional<Values> ifEnabled(String what, byte[] text) throws ConfigException {
        Values values = new Values(what, JsonValues.read(what, text, 0, text.length));
        return values.flag("enabled", values.text("enabled"))
                ? Optional.of(values)
                : Optional.empty();
    }

    boolean flag(String path, String otherwise) throws ConfigException {
        return switch (text(path, otherwise)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw bad(path, "is neither true nor false");
        };
    }

    String text(String path) throws ConfigException {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw bad(path, "is missing");
        }
        return value;
    }

    String text(String path, String otherwise) {
        return values.getOrDefault(path, otherwise);
    }

    long whole(String path, long least, long most) throws ConfigException {
        try {
            long value = Long.parseLong(text(path));
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notWhole) {
            // reported below, as any other value out of range
        }
        throw bad(path, "is not a whole number from " + least + " to " + most);
    }

    /** The same; {@code otherwise} where it is not there. */
    long whole(String path, long least, long most, long otherwise) throws ConfigException {
        return text(path, "").isEmpty() ? otherwise : whole(path, least, most);
    }

    int count(String path) throws ConfigException {
        return values.containsKey(path + ".count")
                ? (int) whole(path + ".count", 0, Integer.MAX_VALUE)
                : 0;
    }

    float number(String path, float otherwise) throws ConfigException {
        try {
            return values.containsKey(path) ? Float.parseFloat(values.get(path)) : otherwise;
        } catch (NumberFormatException notANumber) {
            throw bad(path, "is not a number");
        }
    }

    InetSocketAddress address(String path) throws ConfigException {
        return address(path, text(path));
    }

    InetSocketAddress address(String path, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0
                    && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost")) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException notAnAddress) {
            // reported below
        }
        throw bad(path, "is not ADDRESS:PORT");
    }

    ConfigException bad(String path, String why) {
        return new ConfigException(
                what
                        + ": "
                        + path
                        + " "
                        + why
                        + (values.containsKey(path) ? ": " + values.get(path) : ""));
    }
}
