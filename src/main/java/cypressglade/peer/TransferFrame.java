package cypressglade.peer;

import cypressglade.learn.NodeObservation;
import cypressglade.member.Member;
import cypressglade.share.Verdicts.Verdict;
import java.util.List;
import java.util.Map;

/**
 * A frame of a transfer. The request carries the client's members and no observations. Each frame
 * of the answer is complete in itself, so that those received before a failure can be used.
 *
 * @param echoedNonce in a request, the nonce that the server drew for this connection; in an
 *     answer, the client's nonce
 * @param clientNonce in a request, the nonce that the client drew; 0 in an answer
 * @param index in an answer, the index of the frame, from 0; in a request, the maximum number of
 *     observations to send
 * @param last whether no frame follows
 * @param members members that the sender knows, or some of them
 * @param observations some of the node observations that the server holds
 * @param counters counters by name, for operators
 * @param verdicts some of the verdicts that the server holds
 */
record TransferFrame(
        long echoedNonce,
        long clientNonce,
        int index,
        boolean last,
        List<Member> members,
        List<NodeObservation> observations,
        Map<String, Long> counters,
        List<Verdict> verdicts) {
    TransferFrame(
            long echoedNonce,
            long clientNonce,
            int index,
            boolean last,
            List<Member> members,
            List<NodeObservation> observations,
            Map<String, Long> counters) {
        this(echoedNonce, clientNonce, index, last, members, observations, counters, List.of());
    }
}
