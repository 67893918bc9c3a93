package cypressglade.peer;

import cypressglade.core.MonotonicClock;
import cypressglade.learn.NodeObservation;
import cypressglade.member.Member;
import cypressglade.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * What a running instance says of its peers and of what it knows, asked for with the key as a peer
 * asks.
 *
 * @param members the instance asked is the first
 * @param at when it was asked for; ages are told from here
 */
public record PeerReport(
        List<Member> members, List<NodeObservation> words, Map<String, Long> figures, Instant at) {
    private static final int MOST_WORDS = 4096;

    /**
     * Asks.
     *
     * @throws IOException where no whole answer came, saying what did
     */
    public static PeerReport of(InetSocketAddress instance, KeyRing keys) throws IOException {
        CompletableFuture<PeerReport> done = new CompletableFuture<>();
        PeerReport report =
                new PeerReport(
                        new ArrayList<>(),
                        new ArrayList<>(),
                        new LinkedHashMap<>(),
                        MonotonicClock.now());
        try (EventLoop loop = new EventLoop()) {
            new TransferClient(
                            loop, Optional.empty(), Runnable::run, new SecureRandom(), () -> keys)
                    .pull(
                            instance,
                            MOST_WORDS,
                            new TransferClient.Listener() {
                                @Override
                                public List<Member> members() {
                                    return List.of();
                                }

                                @Override
                                public void came(Transfer frame) {
                                    report.members.addAll(frame.members());
                                    report.words.addAll(frame.words());
                                    report.figures.putAll(frame.figures());
                                }

                                @Override
                                public void over(String fault) {
                                    if (fault.isEmpty()) {
                                        done.complete(report);
                                    } else {
                                        done.completeExceptionally(new IOException(fault));
                                    }
                                }
                            });
            return done.get(2 * TransferClient.MOST.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failed) {
            Throwable why = failed.getCause() == null ? failed : failed.getCause();
            throw new IOException(
                    "no report from "
                            + instance.getHostString()
                            + ":"
                            + instance.getPort()
                            + ": "
                            + why.getMessage()
                            + "; is it running, with the same key file?",
                    why);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", cut);
        }
    }
}
