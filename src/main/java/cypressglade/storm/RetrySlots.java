package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Books slots of time at one node for the retries of refused requests. Each request gets a part of
 * a slot in which the node will have room for it, so that no slot is ever promised to more work
 * than the node can take in it. The bookings of each volume are paced by its weight among the
 * volumes that hold bookings, so that a volume that was refused a thousand times does not book all
 * that others would need.
 *
 * <p>The room of a slot is computed anew for each booking. Where it shrinks, earlier promises
 * stand, and nothing more is promised until they have been worked off. Not safe for use by several
 * threads.
 */
public final class RetrySlots {
    /** Bookings of one node at a time; beyond that nothing is promised. */
    static final int MAX_BOOKINGS = 4096;

    private static final double MIN_UNITS = 1e-6; // up to this, an amount counts as nothing
    private static final double RESERVED_WEIGHT = 1; // for the next volume that comes

    private final long slotNanos;
    private final Duration grace;
    // Units promised in each slot whose retries may still come.
    private final Map<Long, Double> unitsBySlot = new HashMap<>();
    private final Map<Long, ArrayDeque<Booking>> byFingerprint = new HashMap<>();
    private final Set<Booking> inOrder = new LinkedHashSet<>(); // of booking, not of slots
    private final Map<Long, VolumePacing> pacingByVolume = new HashMap<>();
    private double totalWeight; // of all volumes that hold bookings
    private long currentSlot = Long.MIN_VALUE;

    /** How the arrival of a retry relates to a booking. */
    public enum Arrival {
        /** It has no booking. */
        UNBOOKED,
        /** It comes before the time that it was told. */
        EARLY,
        /** It comes at that time or later, while its booking is still held. */
        ON_TIME
    }

    /** The pacing of one volume's bookings: it books nothing before {@code nextSlot}. */
    private static final class VolumePacing {
        private double nextSlot;
        private double weight;
        private int bookings;
    }

    private static final class Booking {
        private final long volume;
        private final long fingerprint;
        private final Instant from;
        private final Instant until;
        private final Map<Long, Double> unitsBySlot;

        Booking(ClientRequest refused, Instant from, Instant until, Map<Long, Double> unitsBySlot) {
            this.volume = refused.volume();
            this.fingerprint = refused.fingerprint();
            this.from = from;
            this.until = until;
            this.unitsBySlot = unitsBySlot;
        }
    }

    /**
     * Creates a ledger without bookings.
     *
     * @param slotLength length of a slot, over 0
     * @param grace how long after the end of its slot a booking may still be used
     */
    public RetrySlots(Duration slotLength, Duration grace) {
        slotNanos = slotLength.toNanos();
        this.grace = grace;
    }

    private long slotAt(Instant time) {
        return Math.floorDiv(Duration.between(Instant.EPOCH, time).toNanos(), slotNanos);
    }

    private Instant startOf(long slot) {
        return Instant.EPOCH.plusNanos(slot * slotNanos);
    }

    /**
     * Books the units that a refused request needs.
     *
     * @param unitsPerSecond units that the node will be able to take beside original requests
     * @param from earliest time for the retry
     * @param until latest time for the retry, as clients honour no later one
     * @return when to retry, or empty where no slot within that time has room
     */
    public Optional<Instant> book(
            ClientRequest refused,
            double unitsPerSecond,
            Instant now,
            Instant from,
            Instant until,
            RandomGenerator random) {
        expire(now);
        double unitsPerSlot = unitsPerSecond * slotNanos / 1e9;
        if (unitsPerSlot <= MIN_UNITS || inOrder.size() >= MAX_BOOKINGS) {
            return Optional.empty();
        }
        VolumePacing pacing =
                pacingByVolume.computeIfAbsent(refused.volume(), volume -> new VolumePacing());
        totalWeight += refused.weight() - pacing.weight;
        pacing.weight = refused.weight();
        // Not into a slot that has begun: the random offset is drawn over a whole slot.
        long first = Math.max(slotAt(from) + 1, (long) Math.ceil(pacing.nextSlot));
        long last = slotAt(until) - 1;
        Map<Long, Double> parts = new HashMap<>();
        long begin = Math.max(first, currentSlot);
        double left = refused.units();
        long slot = begin;
        // A request of many units takes the room of consecutive slots, as it takes the node's time.
        for (; slot <= last && left > 0; slot++) {
            double free = unitsPerSlot - unitsBySlot.getOrDefault(slot, 0.0);
            if (free <= MIN_UNITS) {
                // Work that began before a full slot would run into what is promised there.
                parts.clear();
                left = refused.units();
                begin = slot + 1;
            } else {
                parts.put(slot, Math.min(free, left));
                left -= parts.get(slot);
            }
        }
        if (left > MIN_UNITS) {
            removeIfIdle(refused.volume(), pacing);
            return Optional.empty();
        }
        Instant time = startOf(begin).plusNanos((long) (random.nextDouble() * slotNanos));
        Booking booking = new Booking(refused, time, startOf(slot).plus(grace), parts);
        parts.forEach((number, units) -> unitsBySlot.merge(number, units, Double::sum));
        byFingerprint
                .computeIfAbsent(booking.fingerprint, fingerprint -> new ArrayDeque<>(1))
                .add(booking);
        inOrder.add(booking);
        pacing.bookings++;
        // A volume that is alone has to leave room for the next one, which would otherwise find
        // everything booked.
        double share = pacing.weight / (totalWeight + RESERVED_WEIGHT);
        pacing.nextSlot =
                Math.max(pacing.nextSlot, begin) + refused.units() / (unitsPerSlot * share);
        return Optional.of(time);
    }

    /**
     * Ends the booking of a retry that has arrived, if it has one. A retry that comes before its
     * time loses its booking, too.
     */
    public Arrival claim(ClientRequest retry, Instant now) {
        expire(now);
        ArrayDeque<Booking> bookings = byFingerprint.get(retry.fingerprint());
        Booking booking = bookings == null ? null : bookings.poll();
        if (booking == null) {
            return Arrival.UNBOOKED;
        }
        if (bookings.isEmpty()) {
            byFingerprint.remove(retry.fingerprint());
        }
        inOrder.remove(booking);
        release(booking);
        return now.isBefore(booking.from) ? Arrival.EARLY : Arrival.ON_TIME;
    }

    /** Units that retries which were promised the slot at this time may still bring. */
    public double bookedUnits(Instant time) {
        return unitsBySlot.getOrDefault(slotAt(time), 0.0);
    }

    /** The length of a slot. */
    public Duration slotLength() {
        return Duration.ofNanos(slotNanos);
    }

    /** Number of bookings that are held, 0 to {@link #MAX_BOOKINGS}. */
    public int bookingCount() {
        return inOrder.size();
    }

    /** Gives back the room of a booking; nothing else does. */
    private void release(Booking booking) {
        booking.unitsBySlot.forEach(
                (slot, released) ->
                        unitsBySlot.computeIfPresent(
                                slot,
                                (same, units) ->
                                        units - released <= MIN_UNITS
                                                ? null
                                                : Double.valueOf(units - released)));
        VolumePacing pacing = pacingByVolume.get(booking.volume);
        pacing.bookings--;
        removeIfIdle(booking.volume, pacing);
    }

    private void removeIfIdle(long volume, VolumePacing pacing) {
        if (pacing.bookings == 0) {
            totalWeight -= pacing.weight;
            pacingByVolume.remove(volume);
        }
    }

    /**
     * Releases bookings that nobody came for, in the order of booking: one that has run out stays
     * as long as an earlier one has not.
     */
    private void expire(Instant now) {
        currentSlot = slotAt(now);
        for (Iterator<Booking> bookings = inOrder.iterator(); bookings.hasNext(); ) {
            Booking booking = bookings.next();
            if (!booking.until.isBefore(now)) {
                break;
            }
            ArrayDeque<Booking> same = byFingerprint.get(booking.fingerprint);
            same.remove(booking);
            if (same.isEmpty()) {
                byFingerprint.remove(booking.fingerprint);
            }
            release(booking);
            bookings.remove();
        }
    }
}
