package cypressglade.standin;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The judge tells a broken rule from a node's thread that is late to note an answer's end. */
class RuleJudgeTest {
    private final RuleJudge judge = new RuleJudge();
    private ServerSocket server;
    private Socket scheduler;
    private Socket node;

    @BeforeEach
    void connect() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        scheduler = new Socket(server.getInetAddress(), server.getLocalPort());
        node = server.accept();
    }

    @AfterEach
    void close() throws IOException {
        scheduler.close();
        node.close();
        server.close();
    }

    private RuleJudge.Span begin(String method) {
        Message request = new Message(method + " /x HTTP/1.1", Map.of("x-trace-id", "a"), "");
        return judge.begin(request, node, System.nanoTime());
    }

    @Test
    void attemptBesideOneThatIsOutBreaksTheRule() {
        begin("GET");
        begin("GET");
        assertThat(judge.copies()).isEqualTo(1);
        assertThat(judge.violations()).hasSize(1).first().asString().contains("two attempts");
    }

    @Test
    void attemptBesideOneThatIsOutIsAllowedToReadsByPermission() {
        judge.allowSecondCopies();
        begin("GET");
        begin("GET");
        assertThat(judge.copies()).isEqualTo(1);
        assertThat(judge.violations()).isEmpty();
    }

    @Test
    void permissionIsNotForWrites() {
        judge.allowSecondCopies();
        begin("PUT");
        begin("PUT");
        assertThat(judge.violations()).hasSize(2);
    }

    @Test
    void attemptAfterTheCloseOfTheOneBeforeIsNoCopy() throws IOException {
        begin("GET");
        scheduler.close();
        begin("GET");
        assertThat(judge.violations()).isEmpty();
    }

    /** Guards against taking an answered attempt for out, as its end is noted late. */
    @Test
    void answeredAttemptWhoseEndIsNotedLateIsNoCopy() {
        RuleJudge.Span first = begin("PUT");
        long answered = System.nanoTime();
        begin("PUT");
        first.end(true, answered);
        assertThat(judge.violations()).isEmpty();
    }

    @Test
    void answerAfterTheNextAttemptsBeginIsACopy() {
        RuleJudge.Span first = begin("GET");
        begin("GET");
        first.end(false, System.nanoTime());
        assertThat(judge.violations()).hasSize(1);
    }

    @Test
    void writeThatMayHaveRunIsNotSentAgain() {
        begin("PUT").end(false, System.nanoTime());
        begin("PUT");
        assertThat(judge.violations()).hasSize(1).first().asString().contains("may have run");
    }
}
