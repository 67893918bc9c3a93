package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.LoadFigures;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load report headers converted to the scheduling policy's figures; unreadable figures count as
 * absent.
 */
class LoadReportTest {
    private static final List<String> NAMES = List.of("queue", "latency_ms");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            37    | 12.6 | 38 | 13
            0     | ''   | 1  | 0
            ''    | 4    | 0  | 4
            abc   | -3   | 0  | 0
            1e5   | 0x10 | 0  | 0
            NaN   | 7d   | 0  | 0
            99999 | 5    | 65535 | 5
            """)
    void useAndUnitsByOthersAreParsedOrZero(
            String volumeLoad, String otherHosts, int usePercentPlusOne, int unitsByOthers) {
        ResponseMetadata metadata =
                new LoadReport(volumeLoad, otherHosts, "").toResponseMetadata(NAMES);
        assertThat(metadata.usePercentPlusOne()).isEqualTo(usePercentPlusOne);
        assertThat(metadata.unitsByOthers()).isEqualTo(unitsByOthers);
        assertThat(metadata.load().values()).isEmpty();
    }

    @Test
    void loadFiguresHaveTheOrderOfTheSettingsNames() {
        assertThat(
                        new LoadReport("", "", "TEXT latency_ms=41.5, inflight=7, queue=2")
                                .toResponseMetadata(NAMES)
                                .load()
                                .values())
                .containsExactly(2f, 41.5f);
    }

    @Test
    void loadFiguresAreFoundByTheSettingsNames() {
        LoadFigures load =
                new LoadReport("", "", "TEXT Latency_MS=41.5, queue=2")
                        .toResponseMetadata(NAMES)
                        .load();
        assertThat(load.figure("latency_ms")).isEqualTo(41.5);
        assertThat(load.figure("queue")).isEqualTo(2);
        assertThat(load.figure("inflight")).isZero();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            TEXT queue=2
            TEXT queue=2, latency_ms=x
            queue=2, latency_ms=4
            TEXT queue=2; latency_ms=4
            ''
            """)
    void incompleteReportGivesNoLoad(String metrics) {
        assertThat(new LoadReport("", "", metrics).toResponseMetadata(NAMES).load().values())
                .isEmpty();
    }

    @Test
    void namesAreMatchedIgnoringCase() {
        assertThat(
                        new LoadReport("", "", "text Queue=2, LATENCY_MS=4")
                                .toResponseMetadata(List.of("queue", "Latency_ms"))
                                .load()
                                .values())
                .containsExactly(2f, 4f);
    }

    @Test
    void firstValueOfARepeatedNameCounts() {
        assertThat(
                        new LoadReport("", "", "TEXT queue=2, queue=9, latency_ms=4")
                                .toResponseMetadata(NAMES)
                                .load()
                                .values())
                .containsExactly(2f, 4f);
    }
}
