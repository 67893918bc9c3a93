package cypressglade.http;

import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.LoadFigures;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * The load report in the headers of a node's answer, as text.
 *
 * <p>A figure that cannot be parsed counts as absent, and the rest of the answer stays valid, as
 * malformed reports come from nodes whose answers are good. The load metrics count only if
 * complete, with every name that the settings give, as the scheduling policy takes them as the
 * node's state.
 *
 * @param volumeLoad {@code Volume-Load}: the volume's use through all schedulers in the last
 *     finished second, in percent of its plan's rate, less 1 than the simulator's figure; "" where
 *     absent
 * @param otherHosts {@code Other-Hosts}: units that the shard served for the volume through other
 *     schedulers since its last answer here; "" where absent
 * @param metrics {@code Endpoint-Load-Metrics}: {@code TEXT name=value, ...}; "" where absent
 */
record LoadReport(String volumeLoad, String otherHosts, String metrics) {
    /** The figures of the wire protocol have 16 bits. */
    private static final int MAX_FIGURE = 0xFFFF;

    private static final String TEXT_FORMAT = "TEXT";
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,9})?");

    /**
     * The report in the figures of the scheduling policy.
     *
     * @param names the names of the load figures, without regard to case; the result's load is
     *     empty where one of them is missing
     */
    ResponseMetadata toResponseMetadata(List<String> names) {
        double usePercent = parseFigure(volumeLoad);
        int usePercentPlusOne =
                Double.isNaN(usePercent) || usePercent < 0
                        ? 0
                        : (int) Math.min(MAX_FIGURE, Math.round(usePercent) + 1);
        double otherUnits = parseFigure(otherHosts);
        int unitsByOthers =
                Double.isNaN(otherUnits) || otherUnits < 0
                        ? 0
                        : (int) Math.min(MAX_FIGURE, Math.round(otherUnits));
        return new ResponseMetadata(usePercentPlusOne, unitsByOthers, load(names));
    }

    private LoadFigures load(List<String> names) {
        String text = metrics.trim();
        if (names.isEmpty() || !text.regionMatches(true, 0, TEXT_FORMAT, 0, TEXT_FORMAT.length())) {
            return LoadFigures.NONE;
        }
        List<String> lowerCaseNames =
                names.stream().map(one -> one.toLowerCase(Locale.ROOT)).toList();
        float[] values = new float[names.size()];
        Arrays.fill(values, Float.NaN);
        int foundCount = 0;
        for (String pair : text.substring(TEXT_FORMAT.length()).split(",")) {
            int separator = pair.indexOf('=');
            String name =
                    separator < 0
                            ? ""
                            : pair.substring(0, separator).trim().toLowerCase(Locale.ROOT);
            int index = name.isEmpty() ? -1 : lowerCaseNames.indexOf(name);
            double value = index < 0 ? Double.NaN : parseFigure(pair.substring(separator + 1));
            if (!Double.isNaN(value) && Float.isNaN(values[index])) {
                values[index] = (float) value;
                foundCount++;
            }
        }
        return foundCount == names.size() ? new LoadFigures(names, values) : LoadFigures.NONE;
    }

    /**
     * Parses a plain decimal number; NaN for all else, such as exponents, infinities or suffixes.
     */
    private static double parseFigure(String text) {
        String trimmed = text.trim();
        return DECIMAL.matcher(trimmed).matches() ? Double.parseDouble(trimmed) : Double.NaN;
    }
}
