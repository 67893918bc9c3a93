package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A request has two attempts out at once only where the settings and its class allow it; the
 * stand-in node's judge fails a play in which one has.
 */
class SecondCopyIT {
    private static final int WAIT_MS = 1800;
    private static final long PAUSE_MS = 450;
    private static final long NEVER_MS = 10_000;
    private static final int REQUESTS = 6;
    private static final int RANDOM_REQUESTS = 12;

    /** Time for an answer after a pause, in a JVM that has just started. */
    private static final int AMPLE_MS = 500;

    private static final int OK = 200;
    private static final String ID = "x-trace-id";

    @TempDir Path folder;
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    /** What a node writes of its first answer before and after its pause. */
    private enum Form {
        LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nda", "tadata"),
        CHUNKED("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nda\r\n", "0\r\n\r\n"),
        UNTIL_CLOSE("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nda", ""),
        HALF_STATUS_LINE("HTTP/1.1 20", "0 OK\r\nContent-Length: 2\r\n\r\nda"),
        HALF_HEAD("HTTP/1.1 200 OK\r\nContent-", "Length: 2\r\n\r\nda"),
        INTERIM("HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ERROR("HTTP/1.1 500 X\r\nContent-Length: 8\r\n\r\nda", "tadata"),
        TURNED_AWAY("HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 8\r\n\r\nda", "tadata"),
        NOTHING("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nda");

        private final String start;
        private final String rest;

        Form(String start, String rest) {
            this.start = start;
            this.rest = rest;
        }
    }

    /** Answers the first attempt of each request with a pause, any other at once. */
    private HttpPeer.Script pausing(Form form, long pauseMs) {
        return (request, out) -> {
            if (begun.add(request.headers().get(ID))) {
                answerWithAPause(form, pauseMs, out);
            } else {
                HttpPeer.answer(OK, "", "data").answer(request, out);
            }
        };
    }

    private static void answerWithAPause(Form form, long pauseMs, DataOutputStream out)
            throws Exception {
        HttpPeer.write(out, form.start);
        Thread.sleep(pauseMs);
        HttpPeer.write(out, form.rest);
        if (form == Form.UNTIL_CLOSE) {
            throw new IOException("the end of the answer");
        }
    }

    private SmallSite site(HttpPeer.Script script, UnaryOperator<String> edit) throws IOException {
        return new SmallSite(folder, new HttpPeer(script), edit);
    }

    private static String forbidCancels(String text) {
        return text.replace("\"mayCancel\":true,", "");
    }

    /** Asks several times at once, and returns how long the last answer took. */
    private static long askAll(SmallSite site, String method, Integer... expected) {
        ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
        long start = System.nanoTime();
        try {
            List<CompletableFuture<Message>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                answers.add(CompletableFuture.supplyAsync(() -> ask(site, method), clients));
            }
            for (CompletableFuture<Message> answer : answers) {
                assertThat(answer.join().status()).isIn((Object[]) expected);
            }
        } finally {
            clients.shutdown();
        }
        return (System.nanoTime() - start) / 1_000_000;
    }

    private static Message ask(SmallSite site, String method) {
        try {
            return site.ask(
                    method.equals("GET") ? SmallSite.read(WAIT_MS) : SmallSite.write(WAIT_MS, "x"));
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    static LongStream seeds() {
        String[] range = System.getProperty("copy.seeds", "1-4").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    /** Guards against what no fixed play has: other pauses, waits and forms at the same time. */
    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldAndPausesAreServedWithRandomFormsAndPauses(long seed) throws Exception {
        Random random = new Random(seed);
        boolean mayCopy = random.nextBoolean();
        UnaryOperator<String> edit = mayCopy ? Site::allowSecondCopies : UnaryOperator.identity();
        Map<String, RandomPause> pauses = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(RANDOM_REQUESTS);
        try (SmallSite site = site(pausing(pauses), edit)) {
            if (mayCopy) {
                site.node.judge.allowSecondCopies();
            }
            List<CompletableFuture<Void>> checks = new ArrayList<>();
            for (int i = 0; i < RANDOM_REQUESTS; i++) {
                RandomPause pause = RandomPause.of(random);
                String request = pause.request();
                pauses.put(request.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1"), pause);
                checks.add(CompletableFuture.runAsync(() -> check(site, request, pause), clients));
            }
            for (CompletableFuture<Void> check : checks) {
                check.join();
            }
        } finally {
            clients.shutdown();
        }
    }

    private record RandomPause(Form form, int waitMs, long pauseMs, boolean isWrite) {
        static RandomPause of(Random random) {
            Form form = Form.values()[random.nextInt(Form.values().length)];
            return new RandomPause(
                    form, 600 + random.nextInt(1200), random.nextInt(900), random.nextInt(4) == 0);
        }

        String request() {
            return isWrite ? SmallSite.write(waitMs, "x") : SmallSite.read(waitMs);
        }

        /** Whether the pause leaves time enough for an answer, and for another attempt after it. */
        boolean mustBeServed() {
            boolean mayFail = form == Form.NOTHING || isWrite && form == Form.ERROR;
            return !mayFail && pauseMs < waitMs - AMPLE_MS;
        }
    }

    private HttpPeer.Script pausing(Map<String, RandomPause> pauses) {
        return (request, out) -> {
            String id = request.headers().get(ID);
            if (begun.add(id)) {
                answerWithAPause(pauses.get(id).form(), pauses.get(id).pauseMs(), out);
            } else {
                HttpPeer.answer(OK, "", "data").answer(request, out);
            }
        };
    }

    private static void check(SmallSite site, String request, RandomPause pause) {
        try {
            int status = site.ask(request).status();
            if (pause.mustBeServed()) {
                assertThat(status).as("%s", pause).isEqualTo(OK);
            } else {
                assertThat(status).as("%s", pause).isIn(OK, 502, 503);
            }
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    /** Guards against another attempt beside an answer that pauses. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void answerThatPausesIsServedWithNoOtherAttemptBesideIt(Form form) throws Exception {
        try (SmallSite site = site(pausing(form, PAUSE_MS), UnaryOperator.identity())) {
            askAll(site, "GET", OK);
            assertThat(site.node.judge.copies()).isZero();
        }
    }

    /** Guards against losing a request to an answer that begins and never ends. */
    @ParameterizedTest
    @EnumSource(
            value = Form.class,
            names = {"UNTIL_CLOSE", "NOTHING"},
            mode = EnumSource.Mode.EXCLUDE)
    void requestWhoseFirstAnswerNeverEndsIsServedByAnotherAttempt(Form form) throws Exception {
        try (SmallSite site = site(pausing(form, NEVER_MS), UnaryOperator.identity())) {
            assertThat(askAll(site, "GET", OK)).as("ms").isLessThan(WAIT_MS);
            assertThat(site.node.judge.copies()).isZero();
        }
    }

    /** Guards against closing an attempt early where the settings forbid to cancel any. */
    @Test
    void answerThatNeverEndsIsKeptWhereNoAttemptMayBeCancelled() throws Exception {
        try (SmallSite site = site(pausing(Form.LENGTH, NEVER_MS), SecondCopyIT::forbidCancels)) {
            askAll(site, "GET", 502, 503);
            assertThat(((HttpPeer) site.node).requests).hasSize(REQUESTS);
        }
    }

    /** Guards against waiting for a pause to end where the settings allow a second copy. */
    @Test
    void readIsSentAgainBesideAPauseWhereTheSettingsAllowIt() throws Exception {
        try (SmallSite site = site(pausing(Form.LENGTH, NEVER_MS), Site::allowSecondCopies)) {
            site.node.judge.allowSecondCopies();
            assertThat(askAll(site, "GET", OK)).as("ms").isLessThan(WAIT_MS / 2);
            assertThat(site.node.judge.copies()).isEqualTo(REQUESTS);
        }
    }

    /** Guards against failing a write that pauses while it is turned away. */
    @Test
    void writeThatIsTurnedAwayAfterAPauseIsSentAgain() throws Exception {
        try (SmallSite site = site(pausing(Form.TURNED_AWAY, PAUSE_MS), UnaryOperator.identity())) {
            askAll(site, "PUT", OK);
        }
    }

    /** Guards against a second copy of a write, whatever the settings allow to reads. */
    @Test
    void writeIsNeverSentAgainBesideAPause() throws Exception {
        try (SmallSite site = site(pausing(Form.LENGTH, PAUSE_MS), Site::allowSecondCopies)) {
            site.node.judge.allowSecondCopies();
            askAll(site, "PUT", OK);
            assertThat(site.node.judge.copies()).isZero();
        }
    }
}
