package cypressglade.storm;

import cypressglade.storm.Try.Print;
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
 * When those who were refused at one node may come again: each is given a part of a slot in which
 * the node will have room for it, so that what was promised for any slot is never more than can be
 * taken in it. Each volume's bookings are paced by its weight among those that hold some here, so
 * that one that was refused a thousand times does not book all that others would need.
 *
 * <p>A slot's room is told anew with each booking. Where it falls, what was promised before stands,
 * and no more is promised until it has been worked off. Not safe for use by several threads.
 */
public final class ComeBacks {
    /** Bookings of a node at a time; beyond, nothing is promised. */
    static final int MOST = 4096;

    private static final double LEAST_ROOM = 1e-6;
    private static final double NEXT_WEIGHT = 1;

    private final long slotNs;
    private final Duration grace;
    private final Map<Long, Double> booked =
            new HashMap<>(); // units by slot, of those that may still come
    private final Map<Print, ArrayDeque<Booking>> byPrint = new HashMap<>();
    private final Set<Booking> inOrder = new LinkedHashSet<>(); // of booking, not of coming
    private final Map<Long, Lane> lanes = new HashMap<>();
    private double weights; // of all lanes
    private long firstSlot = Long.MIN_VALUE;

    /** What a come-back is: without a booking, before its time, or in it. */
    public enum Kind {
        NONE,
        EARLY,
        KEPT
    }

    /** A volume's pace: before this slot it books no more; and its weight. */
    private static final class Lane {
        private double next;
        private double weight;
        private int held;
    }

    private static final class Booking {
        private final Print print;
        private final Instant from;
        private final Instant until;
        private final Map<Long, Double> parts;

        Booking(Print print, Instant from, Instant until, Map<Long, Double> parts) {
            this.print = print;
            this.from = from;
            this.until = until;
            this.parts = parts;
        }
    }

    /** An empty ledger; a booking may be used up to {@code grace} after its slot. */
    public ComeBacks(Duration slot, Duration grace) {
        slotNs = slot.toNanos();
        this.grace = grace;
    }

    private long slot(Instant time) {
        return Math.floorDiv(Duration.between(Instant.EPOCH, time).toNanos(), slotNs);
    }

    private Instant start(long slot) {
        return Instant.EPOCH.plusNanos(slot * slotNs);
    }

    /**
     * Books what a refused try needs.
     *
     * @param room units a second that the node will be able to take beside first tries
     * @param from not before
     * @param until not after, as no client honours more
     * @return when to come, or nothing where no slot in that time has room
     */
    public Optional<Instant> book(
            Try refused,
            double room,
            Instant now,
            Instant from,
            Instant until,
            RandomGenerator chance) {
        sweep(now);
        double each = room * slotNs / 1e9; // units in a slot
        if (each <= LEAST_ROOM || inOrder.size() >= MOST) {
            return Optional.empty();
        }
        Lane lane = lanes.computeIfAbsent(refused.volume(), volume -> new Lane());
        weights += refused.weight() - lane.weight;
        lane.weight = refused.weight();
        // Not into a slot that has begun: chance may only spread what comes to one that is whole.
        long first = Math.max(slot(from) + 1, (long) Math.ceil(lane.next));
        long last = slot(until) - 1;
        Map<Long, Double> parts = new HashMap<>();
        long begin = Math.max(first, firstSlot);
        double left = refused.units();
        long at = begin;
        // A request of many units takes the room of several slots one after another, as of a node's
        // time.
        for (; at <= last && left > 0; at++) {
            double free = each - booked.getOrDefault(at, 0.0);
            if (free <= LEAST_ROOM) {
                // work that began before a full slot would meet what is promised there
                parts.clear();
                left = refused.units();
                begin = at + 1;
            } else {
                parts.put(at, Math.min(free, left));
                left -= parts.get(at);
            }
        }
        if (left > LEAST_ROOM) {
            leave(refused.volume(), lane);
            return Optional.empty();
        }
        Instant time = start(begin).plusNanos((long) (chance.nextDouble() * slotNs));
        Booking booking = new Booking(refused.print(), time, start(at).plus(grace), parts);
        parts.forEach((slot, part) -> booked.merge(slot, part, Double::sum));
        byPrint.computeIfAbsent(booking.print, print -> new ArrayDeque<>(1)).add(booking);
        inOrder.add(booking);
        lane.held++;
        // One volume alone must leave room for the next that comes, which would find all booked
        // otherwise.
        double share = lane.weight / (weights + NEXT_WEIGHT);
        lane.next = Math.max(lane.next, begin) + refused.units() / (each * share);
        return Optional.of(time);
    }

    /**
     * Somebody came; a booking of his is over with that, whether he kept to it or came before: who
     * does not wait for his time has none.
     */
    public Kind came(Try again, Instant now) {
        sweep(now);
        ArrayDeque<Booking> his = byPrint.get(again.print());
        Booking booking = his == null ? null : his.poll();
        if (booking == null) {
            return Kind.NONE;
        }
        if (his.isEmpty()) {
            byPrint.remove(again.print());
        }
        inOrder.remove(booking);
        end(booking);
        return now.isBefore(booking.from) ? Kind.EARLY : Kind.KEPT;
    }

    /** The units that those may still bring who were promised the slot of this time. */
    public double booked(Instant time) {
        return booked.getOrDefault(slot(time), 0.0);
    }

    /** The length of a slot. */
    public Duration slot() {
        return Duration.ofNanos(slotNs);
    }

    /** How many hold a slot. */
    public int held() {
        return inOrder.size();
    }

    /** The one place where a booking's room is given back. */
    private void end(Booking booking) {
        booking.parts.forEach(
                (slot, part) ->
                        booked.computeIfPresent(
                                slot,
                                (same, units) ->
                                        units - part <= LEAST_ROOM
                                                ? null
                                                : Double.valueOf(units - part)));
        Lane lane = lanes.get(booking.print.volume());
        lane.held--;
        leave(booking.print.volume(), lane);
    }

    private void leave(long volume, Lane lane) {
        if (lane.held == 0) {
            weights -= lane.weight;
            lanes.remove(volume);
        }
    }

    /**
     * Ends what nobody came for, in the order of booking: who was promised later waits for those
     * before.
     */
    private void sweep(Instant now) {
        firstSlot = slot(now);
        for (Iterator<Booking> all = inOrder.iterator(); all.hasNext(); ) {
            Booking booking = all.next();
            if (!booking.until.isBefore(now)) {
                break;
            }
            ArrayDeque<Booking> same = byPrint.get(booking.print);
            same.remove(booking);
            if (same.isEmpty()) {
                byPrint.remove(booking.print);
            }
            end(booking);
            all.remove();
        }
    }
}
