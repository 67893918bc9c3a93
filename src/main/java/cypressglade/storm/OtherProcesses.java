package cypressglade.storm;

import java.util.List;

/**
 * The other processes of this instance, which hold writes whose clients may come again here: one
 * that an upgrade starts or ends beside this one, or one that served before.
 */
@FunctionalInterface
public interface OtherProcesses {
    /** For an instance that always is one process, without an earlier life. */
    OtherProcesses NONE = () -> new Findings(false, false, List.of());

    /**
     * What is known of the other processes.
     *
     * @param mayServe whether one may be open to clients now; also where that is not known
     * @param hasEndedUnknown whether one has ended since the last call without a word on its writes
     * @param handedOver what {@link WriteRegister#serialize} returned in those that have stopped in
     *     order since the last call
     */
    record Findings(boolean mayServe, boolean hasEndedUnknown, List<byte[]> handedOver) {}

    /** Looks at the other processes. Must not wait for any of them. */
    Findings look();
}
