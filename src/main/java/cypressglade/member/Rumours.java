package cypressglade.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Changes still passed on: those told least go first, each a bounded number of times (SWIM, 4.1). */
final class Rumours {
    private final Map<String, Rumour> byName = new HashMap<>();
    private long order;

    private static final class Rumour {
        private final News news;
        private final long number;
        private int told;

        private Rumour(News news, long number) {
            this.news = news;
            this.number = number;
        }
    }

    /** Takes the place of what was told of the same member before. */
    void add(News news) {
        byName.put(news.member().name(), new Rumour(news, ++order));
    }

    /** What goes with the next message; counts as told. */
    List<News> next(int most, int times) {
        if (byName.isEmpty()) {
            return List.of();
        }
        List<Rumour> first = byName.values().stream()
                .sorted(Comparator.comparingInt((Rumour rumour) -> rumour.told)
                        .thenComparing(Comparator.comparingLong((Rumour rumour) -> rumour.number).reversed()))
                .limit(most).toList();
        List<News> news = new ArrayList<>();
        for (Rumour rumour : first) {
            news.add(rumour.news);
            if (++rumour.told >= times) {
                byName.remove(rumour.news.member().name());
            }
        }
        return news;
    }
}
