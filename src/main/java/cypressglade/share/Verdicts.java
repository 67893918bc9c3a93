package cypressglade.share;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What operators have decided, by what it is about; of two verdicts the later holds, and of two of
 * one time that of the greater member, so that all who have heard the same hold the same in
 * whatever order it came. A verdict is undone by a later one only. Bounded by the number of
 * subjects. Not safe for use by several threads.
 */
public final class Verdicts {
    /** Of more subjects than nodes and members together, something is wrong. */
    private static final int MOST_SUBJECTS = 8192;

    private static final Comparator<Verdict> LATER =
            Comparator.comparing(Verdict::issuedAt)
                    .thenComparing(Verdict::issuer)
                    .thenComparingLong(Verdict::sequence);

    private final String self;
    private final Map<String, Verdict> bySubject = new TreeMap<>();
    private long lastNumber;
    private long turnedAway;

    /**
     * One decision.
     *
     * @param subject such as {@code node s-1} or {@code member scheduler-2}
     * @param action such as {@code exclude}, {@code include}, {@code drain}, {@code evacuate},
     *     {@code activate}
     * @param issuedAt by the clock of the member that it was given at
     * @param issuer that member
     * @param sequence of that member's verdicts, in order
     */
    public record Verdict(
            String subject, String action, Instant issuedAt, String issuer, long sequence) {}

    /**
     * Verdicts as this member holds them; {@code kept} is what its former life held, from its
     * snapshot.
     */
    public Verdicts(String self, Collection<Verdict> kept) {
        this.self = self;
        kept.forEach(this::accept);
    }

    /**
     * A verdict given at this member; later than what it holds of the subject, whatever its clock
     * says.
     */
    public Verdict issue(String subject, String word, Instant now) {
        Instant clock =
                now.truncatedTo(ChronoUnit.MILLIS); // as others hear of it, or two would differ
        Verdict before = bySubject.get(subject);
        Instant at =
                before == null || before.issuedAt().isBefore(clock)
                        ? clock
                        : before.issuedAt().plusMillis(1);
        Verdict verdict = new Verdict(subject, word, at, self, ++lastNumber);
        accept(verdict);
        return verdict;
    }

    /** Takes another's verdict; whether it holds now and did not before. */
    public boolean accept(Verdict verdict) {
        if (verdict.issuer()
                .equals(self)) { // of this life or of the former one: numbers go on from there
            lastNumber = Math.max(lastNumber, verdict.sequence());
        }
        Verdict before = bySubject.get(verdict.subject());
        if (before == null && bySubject.size() >= MOST_SUBJECTS) {
            turnedAway++;
            return false;
        }
        if (before != null && LATER.compare(verdict, before) <= 0) {
            return false;
        }
        bySubject.put(verdict.subject(), verdict);
        return true;
    }

    /** The verdict that holds on a subject. */
    public Optional<Verdict> current(String subject) {
        return Optional.ofNullable(bySubject.get(subject));
    }

    /** All that hold, for others and for the snapshot. */
    public List<Verdict> all() {
        return List.copyOf(bySubject.values());
    }

    /**
     * A figure that is the same for whoever holds the same, and most likely another for whoever
     * does not.
     */
    public long digest() {
        long digest = 1;
        for (Verdict verdict : bySubject.values()) {
            long one = verdict.subject().hashCode() * 31L + verdict.issuedAt().toEpochMilli();
            digest = digest * 0x9E3779B97F4A7C15L + one * 31 + verdict.issuer().hashCode();
        }
        return digest;
    }

    /** Verdicts that there was no room for. */
    public long rejected() {
        return turnedAway;
    }
}
