package cypressglade.console;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.console.ConsoleModel.Mode;
import cypressglade.console.Screen.Line;
import cypressglade.console.Screen.Style;
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
    private final ConsoleModel model = new ConsoleModel();

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
        return Screen.draw(model, "connected", width, height);
    }

    private String text() {
        return String.join("\n", draw(120, 40).stream().map(Line::text).toList());
    }

    private Optional<ConsoleModel.Command> keys(String... keys) {
        Optional<ConsoleModel.Command> command = Optional.empty();
        for (String key : keys) {
            command = model.handleKey(key);
        }
        return command;
    }

    /** Sizes from the smallest terminal to a wide one, with none to many nodes. */
    @Test
    void everyScreenSizeIsFilledExactly() {
        for (int nodes : new int[] {0, 1, 10, 500}) {
            model.update(view(nodes));
            for (int[] size :
                    new int[][] {{40, 10}, {80, 24}, {100, 30}, {160, 50}, {300, 100}, {41, 11}}) {
                for (String mode : List.of("none", "?", "?")) {
                    model.handleKey(mode);
                    assertThat(draw(size[0], size[1]))
                            .hasSize(size[1])
                            .allMatch(line -> line.text().length() == size[0]);
                }
            }
        }
    }

    @Test
    void screenShowsNodesQueuesRefusalsAndEvents() {
        model.update(view(5));
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
                .filteredOn(line -> line.style() == Style.ERROR)
                .singleElement()
                .matches(line -> line.text().startsWith("s-003"));
        assertThat(draw(80, 24))
                .filteredOn(line -> line.style() == Style.SELECTED)
                .singleElement()
                .matches(line -> line.text().startsWith("s-000"));
    }

    /** Guards against a selected node that scrolls out of sight. */
    @Test
    void selectedNodeIsAlwaysVisible() {
        model.update(view(500));
        for (String key : List.of("end", "page up", "up", "home", "page down", "down", "j", "k")) {
            model.handleKey(key);
            for (int height : new int[] {10, 24, 50}) {
                assertThat(draw(80, height))
                        .filteredOn(line -> line.style() == Style.SELECTED)
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
    void drainAsksForAReasonAndAConfirmation(String answer, boolean force, boolean drained) {
        model.update(view(5));
        Optional<ConsoleModel.Command> command =
                keys("down", "d", "b", "a", "d", "backspace", "enter", answer);
        assertThat(command)
                .isEqualTo(
                        drained
                                ? Optional.of(new ConsoleModel.Drain("s-001", "ba", force))
                                : Optional.empty());
        assertThat(model.mode()).isEqualTo(Mode.BROWSE);
        assertThat(keys("z"))
                .isEqualTo(
                        drained
                                ? Optional.of(new ConsoleModel.Undrain("s-001"))
                                : Optional.empty());
    }

    /** Guards against draining a node that has moved to the selected node's row meanwhile. */
    @Test
    void drainActsOnTheSelectedNodeAlthoughTheListChanges() {
        model.update(view(5));
        keys("down", "down", "d", "enter");
        model.update(
                new View(
                        view(5).nodes().subList(1, 5),
                        List.of(),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of()));
        assertThat(model.handleKey("y")).contains(new ConsoleModel.Drain("s-002", "", false));
        keys("d", "enter");
        model.update(view(1));
        assertThat(model.handleKey("y")).isEmpty();
        assertThat(model.prompt()).contains("s-002 has left");
    }

    @Test
    void filterSortPauseAndLeaveKeysWork() {
        model.update(view(20));
        keys("/", "s", "i", "l", "enter");
        assertThat(model.visibleNodes())
                .extracting(View.Node::state)
                .containsOnly("silent")
                .hasSize(3);
        keys("escape", "s", "s");
        assertThat(model.visibleNodes())
                .hasSize(20)
                .isSortedAccordingTo(ConsoleModel.Sort.SERVICE_TIME.order);
        keys("p");
        model.update(view(1));
        assertThat(model.visibleNodes()).hasSize(20);
        keys("p");
        model.update(view(1));
        assertThat(model.visibleNodes()).hasSize(1);
        assertThat(keys("q")).contains(new ConsoleModel.Leave());
    }

    /** Random keys and frames: the screen can always be drawn, and a drain needs a confirmation. */
    @Test
    void randomKeysNeverDrainWithoutAConfirmation() {
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
            Mode before = model.mode();
            String key = keys.get(random.nextInt(keys.size()));
            Optional<ConsoleModel.Command> command = model.handleKey(key);
            assertThat(
                            command.filter(ConsoleModel.Drain.class::isInstance).isEmpty()
                                    || before == Mode.CONFIRM
                                            && (key.equals("y") || key.equals("f")))
                    .isTrue();
            if (i % 10 == 0) {
                model.update(view(random.nextInt(12)));
                assertThat(draw(80, 24)).hasSize(24);
            }
        }
    }

    @Test
    void framesAreParsedAndMissingFieldsAreEmpty() throws Exception {
        String event =
                "{\"number\":1,\"at\":\"2026-01-01T12:34:56.789Z\","
                        + "\"event\":\"drain.done\",\"node\":\"a\"}";
        String frame = "{\"nodes\":[{\"id\":\"a\",\"us_a_unit\":1500}],\"events\":[" + event + "]}";
        View view = View.parse(new ObjectMapper().readTree(frame));
        assertThat(view.nodes().get(0).msPerUnit()).isEqualTo(1.5);
        assertThat(view.events()).containsExactly("12:34:56  drain.done  node=a");
        assertThat(View.parse(new ObjectMapper().readTree("{}"))).isEqualTo(View.EMPTY);
    }
}
