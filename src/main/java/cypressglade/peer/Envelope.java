package cypressglade.peer;

import cypressglade.member.Message;
import cypressglade.share.Notice;
import java.util.Optional;

/**
 * A datagram's body. One without a message tells the life of its sender to somebody who named
 * another.
 *
 * @param from life of the sender
 * @param to life of the receiver, 0 where the sender does not know it
 * @param number counts up with each datagram of the sender
 * @param message of the membership
 * @param notice of what is shared
 */
record Envelope(
        long from, long to, long number, Optional<Message> message, Optional<Notice> notice) {
    Envelope(long from, long to, long number, Optional<Message> message) {
        this(from, to, number, message, Optional.empty());
    }

    /** Whether it says anything but who its sender is. */
    boolean says() {
        return message.isPresent() || notice.isPresent();
    }
}
