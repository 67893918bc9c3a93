package cypressglade.member;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What instances send each other. The first of the news is always the sender itself.
 *
 * @param sequenceNumber of the ping that this is, or answers, on the side that sent the ping
 * @param target whom a ping is meant for, empty where the sender knows an address only; whom to ask
 *     in the sender's stead
 * @param targetAddress where that one is, for an indirect ping
 */
public record Message(
        Kind kind,
        long sequenceNumber,
        String target,
        InetSocketAddress targetAddress,
        List<MemberUpdate> updates) {
    /**
     * The kinds of SWIM, and Lifeguard's nack: a helper that asked for another heard nothing in
     * time.
     */
    public enum Kind {
        PING,
        ACK,
        PING_REQ,
        NACK
    }
}
