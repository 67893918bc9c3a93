package cypressglade.http;

import cypressglade.core.NodeLink;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * What a node's answer tells beside itself, as it came: {@code Volume-Load} (the volume's use
 * through all schedulers in the last finished second, in percent of its plan's rate, less 1 than
 * the simulator's figure), {@code Other-Hosts} (units that the shard served for the volume through
 * other schedulers since its last answer here) and {@code Endpoint-Load-Metrics} ({@code TEXT
 * name=value, ...}). Each is "" where it was not there.
 *
 * <p>A figure that cannot be read is taken as not told, and the rest of the answer counts: spoilt
 * reports come from nodes whose answers are good. A load report counts only whole, with every name
 * that the settings give, as the module takes what it has as the node's state.
 */
record LoadReport(String volumeLoad, String otherHosts, String metrics) {
    /** The wire's figures hold 16 bits. */
    private static final int MOST = 0xFFFF;

    private static final String TEXT = "TEXT";
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,9})?");

    /** In the module's figures; the load by the names that the settings give, in their order. */
    NodeLink.ResponseMetadata toResponseMetadata(List<String> names) {
        double use = figure(volumeLoad);
        int used = Double.isNaN(use) || use < 0 ? 0 : (int) Math.min(MOST, Math.round(use) + 1);
        double others = figure(otherHosts);
        int byOthers =
                Double.isNaN(others) || others < 0 ? 0 : (int) Math.min(MOST, Math.round(others));
        return new NodeLink.ResponseMetadata(used, byOthers, load(names));
    }

    private float[] load(List<String> names) {
        String text = metrics.trim();
        if (names.isEmpty() || !text.regionMatches(true, 0, TEXT, 0, TEXT.length())) {
            return new float[0];
        }
        List<String> lower = names.stream().map(one -> one.toLowerCase(Locale.ROOT)).toList();
        float[] load = new float[names.size()];
        Arrays.fill(load, Float.NaN);
        int told = 0;
        for (String pair : text.substring(TEXT.length()).split(",")) {
            int equals = pair.indexOf('=');
            String name =
                    equals < 0 ? "" : pair.substring(0, equals).trim().toLowerCase(Locale.ROOT);
            int at = name.isEmpty() ? -1 : lower.indexOf(name);
            double value = at < 0 ? Double.NaN : figure(pair.substring(equals + 1));
            if (!Double.isNaN(value) && Float.isNaN(load[at])) {
                load[at] = (float) value;
                told++;
            }
        }
        return told == names.size() ? load : new float[0];
    }

    /** A plain decimal number, or NaN: no exponents, signs of infinity or suffixes. */
    private static double figure(String text) {
        String plain = text.trim();
        return DECIMAL.matcher(plain).matches() ? Double.parseDouble(plain) : Double.NaN;
    }
}
