package cypressglade.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which keys a configuration has, whatever their values. A key that is not there counts as 0 or as
 * no permission, so a file that lost one in the middle of being written or edited would turn a
 * limit off; a reload takes a file only where it has all that the one in force has. The node list
 * comes and goes by itself and does not count.
 */
final class Keys {
    private static final String KNOWN = "known.";
    private static final Pattern ENTRY = Pattern.compile("(.+?)\\.(\\d+)\\.(.+)");

    private final Set<String> single = new TreeSet<>();
    private final Map<String, List<Set<String>>> entries = new TreeMap<>();

    /** The keys of a document by path, as {@link JsonValues} has them. */
    Keys(Map<String, String> values) {
        for (String path : values.keySet()) {
            Matcher entry = ENTRY.matcher(path);
            if (path.startsWith(KNOWN)) {
                continue;
            } else if (entry.matches()) {
                List<Set<String>> list =
                        entries.computeIfAbsent(entry.group(1), each -> new ArrayList<>());
                int number = Integer.parseInt(entry.group(2));
                while (list.size() <= number) {
                    list.add(new HashSet<>());
                }
                list.get(number).add(entry.group(3));
            } else {
                single.add(path);
            }
        }
    }

    /**
     * The path of a key that these have and the next file lacks. Entries of a list may come and go;
     * each has to have what all entries of these have in common.
     */
    Optional<String> lostIn(Keys next) {
        for (String path : single) {
            if (!next.single.contains(path)) {
                return Optional.of(path);
            }
        }
        for (Map.Entry<String, List<Set<String>>> list : entries.entrySet()) {
            Set<String> common = new TreeSet<>(list.getValue().get(0));
            list.getValue().forEach(common::retainAll);
            List<Set<String>> now = next.entries.getOrDefault(list.getKey(), List.of());
            for (int i = 0; i < now.size(); i++) {
                for (String key : common) {
                    if (!now.get(i).contains(key)) {
                        return Optional.of(list.getKey() + "." + i + "." + key);
                    }
                }
            }
        }
        return Optional.empty();
    }
}
