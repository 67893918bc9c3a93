package cypressglade.config;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import cypressglade.nbd.NbdConfig;
import cypressglade.nbd.NbdConfig.Export;
import cypressglade.nbd.NbdConfig.Extent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads {@code deploy/nbd.json}: nothing where the file is not there or says that the front is off.
 */
public final class NbdConfigParser {
    private static final int MIN_UNIT = 512;
    private static final int MAX_UNIT = 1 << 20;
    private static final int MAX_NAME = 256;
    private static final int MAX_HOSTS = 1 << 10;
    private static final long MAX_SIZE = 1L << 60;

    private final Values values;
    private final Settings settings;

    private NbdConfigParser(Values values, Settings settings) {
        this.values = values;
        this.settings = settings;
    }

    /**
     * Reads the file.
     *
     * @param settings the settings whose classes and plans it names
     */
    public static Optional<NbdConfig> read(Path path, Settings settings) throws ConfigException {
        Optional<Values> values = Values.ifEnabled(path);
        return values.isEmpty() ? Optional.empty() : Optional.of(parse(values.get(), settings));
    }

    static Optional<NbdConfig> parse(String what, byte[] text, Settings settings)
            throws ConfigException {
        Optional<Values> values = Values.ifEnabled(what, text);
        return values.isEmpty() ? Optional.empty() : Optional.of(parse(values.get(), settings));
    }

    private static NbdConfig parse(Values values, Settings settings) throws ConfigException {
        return new NbdConfigParser(values, settings).config();
    }

    private NbdConfig config() throws ConfigException {
        List<Export> exports = new ArrayList<>();
        for (int i = 0; i < values.count("exports"); i++) {
            exports.add(export("exports." + i + "."));
        }
        if (exports.isEmpty()
                || exports.stream().map(Export::name).distinct().count() != exports.size()) {
            throw values.bad("exports", "must name at least one export, each once");
        }
        Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
        for (int i = 0; i < values.count("nodes"); i++) {
            nodes.put(values.text("nodes." + i + ".id"), values.address("nodes." + i + ".address"));
        }
        return new NbdConfig(
                values.address("listen"),
                named("read_class", settings.classes(), RequestClass::name),
                named("write_class", settings.classes(), RequestClass::name),
                (int) values.whole("unit_bytes", MIN_UNIT, MAX_UNIT),
                (int) values.whole("hosts", 1, MAX_HOSTS),
                List.copyOf(exports),
                nodes);
    }

    private Export export(String at) throws ConfigException {
        long size = values.whole(at + "size", 1, MAX_SIZE);
        List<Extent> extents = new ArrayList<>();
        long end = 0;
        for (int i = 0; i < values.count(at + "extents"); i++) {
            String extent = at + "extents." + i + ".";
            end += values.whole(extent + "bytes", 1, size);
            extents.add(
                    new Extent(end, (int) values.whole(extent + "shard", 0, Integer.MAX_VALUE)));
        }
        if (end != size) {
            throw values.bad(at + "extents", "must add up to the size");
        }
        String name = values.text(at + "name");
        if (name.getBytes(StandardCharsets.UTF_8).length > MAX_NAME) {
            throw values.bad(at + "name", "is too long");
        }
        String volume = values.text(at + "volume");
        if (!volume.matches("[0-9a-fA-F]{16}")) {
            throw values.bad(at + "volume", "is not 16 hexadecimal digits");
        }
        return new Export(
                name,
                Long.parseUnsignedLong(volume, 16),
                named(at + "plan", settings.plans(), Plan::name),
                size,
                List.copyOf(extents));
    }

    /** The one of {@code items} whose name is the value at {@code path}. */
    private <T> T named(String path, List<T> items, Function<T, String> nameOf)
            throws ConfigException {
        String name = values.text(path);
        for (T item : items) {
            if (nameOf.apply(item).equals(name)) {
                return item;
            }
        }
        throw values.bad(
                path, "is none of " + String.join(", ", items.stream().map(nameOf).toList()));
    }
}
