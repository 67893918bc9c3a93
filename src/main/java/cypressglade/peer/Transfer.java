package cypressglade.peer;

import cypressglade.learn.NodeObservation;
import cypressglade.member.Member;
import cypressglade.share.Verdicts.Verdict;
import java.util.List;
import java.util.Map;

/**
 * A frame of a transfer. The request carries the asker's members and no words; each frame of the
 * answer is whole in itself, so that what came before a break is of use.
 *
 * @param nonce in a request what the other side drew for this connection; in an answer what the
 *     asker drew
 * @param ask in a request what the asker drew; 0 in an answer
 * @param index of an answer's frame, from 0; in a request how many words are wanted
 * @param last whether no frame follows
 * @param figures counters by name, for operators
 * @param verdicts some of those that the answerer holds
 */
record Transfer(
        long nonce,
        long ask,
        int index,
        boolean last,
        List<Member> members,
        List<NodeObservation> words,
        Map<String, Long> figures,
        List<Verdict> verdicts) {
    Transfer(
            long nonce,
            long ask,
            int index,
            boolean last,
            List<Member> members,
            List<NodeObservation> words,
            Map<String, Long> figures) {
        this(nonce, ask, index, last, members, words, figures, List.of());
    }
}
