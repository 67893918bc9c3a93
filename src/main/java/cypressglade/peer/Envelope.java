package cypressglade.peer;

import cypressglade.member.Message;
import cypressglade.share.Notice;
import java.util.Optional;

/**
 * The body of a datagram. One without message and notice tells the sender's generation to a peer
 * that addressed another generation.
 *
 * @param senderGeneration generation of the sender, never 0
 * @param receiverGeneration generation of the receiver, 0 if the sender does not know it
 * @param sequenceNumber increases with each datagram of the sender
 * @param message membership message, if any
 * @param notice message about shared limits and verdicts, if any
 */
record Envelope(
        long senderGeneration,
        long receiverGeneration,
        long sequenceNumber,
        Optional<Message> message,
        Optional<Notice> notice) {
    Envelope(
            long senderGeneration,
            long receiverGeneration,
            long sequenceNumber,
            Optional<Message> message) {
        this(senderGeneration, receiverGeneration, sequenceNumber, message, Optional.empty());
    }

    /** Whether the envelope carries a message or a notice. */
    boolean hasContent() {
        return message.isPresent() || notice.isPresent();
    }
}
