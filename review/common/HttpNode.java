import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A storage node on the platform's protocol. A request has run once its last byte has come; how it
 * is answered is for the case to say.
 */
final class HttpNode extends Server {
    /** Requests that have run here, in order. */
    final List<Http.Message> runs = new CopyOnWriteArrayList<>();

    volatile Script script = (request, out) -> Http.answer(out, 200, "", "done");
    private final Trial trial;
    private final String name;

    /** Answers a request that has run; an exception resets the connection. */
    interface Script {
        void answer(Http.Message request, OutputStream out) throws Exception;
    }

    HttpNode(Trial trial, String name) throws IOException {
        this.trial = trial;
        this.name = name;
    }

    @Override
    void talk(InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.read(in);
            if (request.first().startsWith("GET /healthz")) {
                Http.answer(out, 200, "", "");
                continue;
            }
            runs.add(request);
            trial.note(name, "runs " + request.first() + " id " + request.id());
            script.answer(request, out);
        }
    }

    long runsOf(String id) {
        return runs.stream().filter(run -> run.id().equals(id)).count();
    }
}
