package cypressglade.cli;

import java.lang.reflect.Proxy;

/**
 * The signals that the program handles beside its shutdown hook. The JVM has no supported interface
 * for them; its own one is reached by reflection since the compiler warns of it in every other way.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs an action on each SIGHUP, which would end the program otherwise.
     *
     * @return false where none will be heard: the JVM leaves a signal alone that was ignored when
     *     the program was started, as by nohup, and its processes inherit that
     */
    static boolean onHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                    return null;
                                }
                                return method.getName().equals("equals")
                                        ? (Object) (proxy == arguments[0])
                                        : System.identityHashCode(
                                                action); // the JVM puts it into a table
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    calls);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("this JVM handles no signals", missing);
        }
    }
}
