package cypressglade.member;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A protocol message between two instances, with the membership updates that it carries. The first
 * update is always the sender itself.
 *
 * @param kind what the message asks or answers
 * @param sequenceNumber of the ping that this message is, or answers, as numbered by the ping's
 *     sender; 0 in an ack that only carries updates
 * @param target name of the member that a ping is meant for, empty where the sender knows only an
 *     address; in a ping-req the member to ping on the sender's behalf; otherwise empty
 * @param targetAddress address of that member in a ping-req, otherwise null
 * @param updates membership updates; empty only in malformed messages
 */
public record Message(
        Kind kind,
        long sequenceNumber,
        String target,
        InetSocketAddress targetAddress,
        List<MemberUpdate> updates) {
    /**
     * The message kinds of SWIM, and the nack of Lifeguard. They are sent by their ordinals, so
     * their order must not change.
     */
    public enum Kind {
        /** Asks for an ack. */
        PING,
        /** Answers a ping; also carries updates unasked. */
        ACK,
        /** Asks the receiver to ping another member: an indirect probe. */
        PING_REQ,
        /** Tells the sender of a ping-req that its target has not answered in time. */
        NACK
    }
}
