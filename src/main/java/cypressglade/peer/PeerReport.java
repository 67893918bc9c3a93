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
 * The members and node observations that a running instance knows, fetched by a transfer with the
 * key, as peers do.
 *
 * @param members the instance that answered comes first
 * @param observations observations of nodes, the instance's own and those of its peers
 * @param counters counters by name
 * @param requestedAt when the report was requested; ages are computed as of then
 */
public record PeerReport(
        List<Member> members,
        List<NodeObservation> observations,
        Map<String, Long> counters,
        Instant requestedAt) {
    private static final int MAX_OBSERVATIONS = 4096;

    /**
     * Fetches the report of an instance; blocks for up to twice {@link TransferClient#TIMEOUT}.
     *
     * @throws IOException if no complete answer was received; the message says why
     */
    public static PeerReport fetch(InetSocketAddress instance, KeyRing keys) throws IOException {
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
                            MAX_OBSERVATIONS,
                            new TransferClient.Listener() {
                                @Override
                                public List<Member> members() {
                                    return List.of();
                                }

                                @Override
                                public void frameReceived(TransferFrame frame) {
                                    report.members.addAll(frame.members());
                                    report.observations.addAll(frame.observations());
                                    report.counters.putAll(frame.counters());
                                }

                                @Override
                                public void finished(String failure) {
                                    if (failure.isEmpty()) {
                                        done.complete(report);
                                    } else {
                                        done.completeExceptionally(new IOException(failure));
                                    }
                                }
                            });
            return done.get(2 * TransferClient.TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failed) {
            Throwable cause = failed.getCause() == null ? failed : failed.getCause();
            throw new IOException(
                    "no report from "
                            + instance.getHostString()
                            + ":"
                            + instance.getPort()
                            + ": "
                            + cause.getMessage()
                            + "; is it running, with the same key file?",
                    cause);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", interrupted);
        }
    }
}
