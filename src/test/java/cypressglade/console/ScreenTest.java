package cypressglade.console;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.console.Desk.Mode;
import cypressglade.console.Screen.Line;
import cypressglade.console.Screen.Look;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the console shows and what its keys do, without a terminal. */
class ScreenTest {
    private final Desk desk = new Desk();

    private static View view(int nodes) {
        return new View(
                IntStream.range(0, nodes)
                        .mapToObj(
                                i ->
                                        new View.Node(
                                                String.format("s-%03d", i),
                                                i,
                                                i % 7 == 3 ? "silent" : "ready",
                                                i % 5,
                                                i % 3,
                                                32,
                                                i % 2,
                                                i == 0 ? -1 : i * 1000L))
                        .toList(),
                List.of(new View.Queue("job-read", 3, 120), new View.Queue("job-write", 0, 0)),
                Map.of("crowded", 12L, "limit", 0L),
                Map.of("answered_served", 5L),
                List.of("12:00:00  drain.done"),
                List.of("a alive", "b suspect"));
    }

    private List<Line> draw(int width, int height) {
        return Screen.draw(desk, "connected", width, height);
    }

    private String text() {
        return String.join("\n", draw(120, 40).stream().map(Line::text).toList());
    }

    private Optional<Desk.Wish> keys(String... keys) {
        Optional<Desk.Wish> wish = Optional.empty();
        for (String key : keys) {
            wish = desk.key(key);
        }
        return wish;
    }

    /**
     * From the least terminal to the widest, with none to many nodes: as many lines as it has, each
     * as wide.
     */
    @Test
    void everySizeIsFilledExactly() {
        for (int nodes : new int[] {0, 1, 10, 500}) {
            desk.show(view(nodes));
            for (int[] size :
                    new int[][] {{40, 10}, {80, 24}, {100, 30}, {160, 50}, {300, 100}, {41, 11}}) {
                for (String mode : List.of("none", "?", "?")) {
                    desk.key(mode);
                    assertThat(draw(size[0], size[1]))
                            .hasSize(size[1])
                            .allMatch(line -> line.text().length() == size[0]);
                }
            }
        }
    }

    @Test
    void screenShowsNodesQueuesRefusalsAndEvents() {
        desk.show(view(5));
        assertThat(text())
                .contains(
                        "s-003",
                        "silent",
                        "never",
                        "job-read",
                        "120 ms",
                        "crowded",
                        "12:00:00  drain.done",
                        "b suspect")
                .doesNotContain("limit");
        assertThat(draw(80, 24))
                .filteredOn(line -> line.look() == Look.BAD)
                .singleElement()
                .matches(line -> line.text().startsWith("s-003"));
        assertThat(draw(80, 24))
                .filteredOn(line -> line.look() == Look.CHOSEN)
                .singleElement()
                .matches(line -> line.text().startsWith("s-000"));
    }

    /** Guards against a choice that scrolls out of sight. */
    @Test
    void chosenNodeIsAlwaysInSight() {
        desk.show(view(500));
        for (String key : List.of("end", "page up", "up", "home", "page down", "down", "j", "k")) {
            desk.key(key);
            for (int height : new int[] {10, 24, 50}) {
                assertThat(draw(80, height))
                        .filteredOn(line -> line.look() == Look.CHOSEN)
                        .hasSize(1);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "y, false, true",
        "f, true, true",
        "n, false, false",
        "escape, false, false",
        "enter, false, false"
    })
    void drainAsksWhyAndForAYes(String answer, boolean force, boolean drained) {
        desk.show(view(5));
        Optional<Desk.Wish> wish = keys("down", "d", "b", "a", "d", "backspace", "enter", answer);
        assertThat(wish)
                .isEqualTo(
                        drained
                                ? Optional.of(new Desk.Drain("s-001", "ba", force))
                                : Optional.empty());
        assertThat(desk.mode()).isEqualTo(Mode.LOOK);
        assertThat(keys("z"))
                .isEqualTo(drained ? Optional.of(new Desk.Undrain("s-001")) : Optional.empty());
    }

    /** Guards against an order on whichever node has moved to the place of the chosen one. */
    @Test
    void orderIsOnTheNodeThatWasChosenThoughTheListMoves() {
        desk.show(view(5));
        keys("down", "down", "d", "enter");
        desk.show(
                new View(
                        view(5).nodes().subList(1, 5),
                        List.of(),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of()));
        assertThat(desk.key("y")).contains(new Desk.Drain("s-002", "", false));
        keys("d", "enter");
        desk.show(view(1));
        assertThat(desk.key("y")).isEmpty();
        assertThat(desk.prompt()).contains("s-002 has left");
    }

    @Test
    void filterSortPauseAndLeave() {
        desk.show(view(20));
        keys("/", "s", "i", "l", "enter");
        assertThat(desk.nodes()).extracting(View.Node::state).containsOnly("silent").hasSize(3);
        keys("escape", "s", "s");
        assertThat(desk.nodes()).hasSize(20).isSortedAccordingTo(Desk.Sort.PACE.order);
        keys("p");
        desk.show(view(1));
        assertThat(desk.nodes()).hasSize(20);
        keys("p");
        desk.show(view(1));
        assertThat(desk.nodes()).hasSize(1);
        assertThat(keys("q")).contains(new Desk.Leave());
    }

    /** Whatever is typed, in whatever order frames come: it draws, and drains only after a yes. */
    @Test
    void anyKeysDrawAndDrainOnlyAfterAYes() {
        SplittableRandom random = new SplittableRandom(4);
        List<String> keys =
                List.of(
                        "up",
                        "down",
                        "d",
                        "y",
                        "f",
                        "n",
                        "enter",
                        "escape",
                        "/",
                        "s",
                        "p",
                        "u",
                        "z",
                        "?",
                        "x",
                        "page down",
                        "end",
                        "home",
                        "backspace",
                        " none",
                        "end of input");
        for (int i = 0; i < 20_000; i++) {
            Mode before = desk.mode();
            String key = keys.get(random.nextInt(keys.size()));
            Optional<Desk.Wish> wish = desk.key(key);
            assertThat(
                            wish.filter(Desk.Drain.class::isInstance).isEmpty()
                                    || before == Mode.CONFIRM
                                            && (key.equals("y") || key.equals("f")))
                    .isTrue();
            if (i % 10 == 0) {
                desk.show(view(random.nextInt(12)));
                assertThat(draw(80, 24)).hasSize(24);
            }
        }
    }

    @Test
    void framesAreReadAndWhatIsMissingIsEmpty() throws Exception {
        String event =
                "{\"number\":1,\"at\":\"2026-01-01T12:34:56.789Z\","
                        + "\"event\":\"drain.done\",\"node\":\"a\"}";
        String frame = "{\"nodes\":[{\"id\":\"a\",\"us_a_unit\":1500}],\"events\":[" + event + "]}";
        View view = View.of(new ObjectMapper().readTree(frame));
        assertThat(view.nodes().get(0).msPerUnit()).isEqualTo(1.5);
        assertThat(view.events()).containsExactly("12:34:56  drain.done  node=a");
        assertThat(View.of(new ObjectMapper().readTree("{}"))).isEqualTo(View.EMPTY);
    }
}
