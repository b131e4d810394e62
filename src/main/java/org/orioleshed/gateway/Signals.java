package org.orioleshed.gateway;

import java.lang.reflect.Proxy;

/**
 * Takes signals of the operating system. The JDK's class for it is not part of its API, so it is
 * reached by name; without it a signal has its usual effect.
 */
public final class Signals {
    private Signals() {}

    /**
     * Runs {@code action} at each signal {@code name}, such as HUP.
     *
     * @throws IllegalStateException when this runtime takes no such signal
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object made = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, made, proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("no handler for signal " + name, e);
        }
    }
}
