package cypressglade.core;

import java.time.Instant;

/** What the core needs to know of a request, whichever wire it came by. */
public record IoRequest(int shard, int requestClass, int plan, int hosts, boolean repeat, boolean write,
        long volume, long key, float units, Instant expiry) {

    /** The same, answered by a time at the latest. */
    public IoRequest by(Instant last) {
        return last.isAfter(expiry) ? this : new IoRequest(shard, requestClass, plan, hosts, repeat, write,
                volume, key, units, last);
    }

    /** The module's form of it, where so many processes serve as this instance at once. */
    Scheduler.Request toModule(long id, int beside) {
        return new Scheduler.Request(id, shard, requestClass, plan, hosts * beside, repeat, write, volume,
                key, units,
                Micros.of(Time.until(expiry)));
    }
}
