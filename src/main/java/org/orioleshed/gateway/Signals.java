package org.orioleshed.gateway;

import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The JDK's signal class is not part of its API, so it is
 * accessed by reflection. Without that class, signals keep their default effect.
 */
public final class Signals {
    private Signals() {}

    /**
     * Runs an action at each signal of a name.
     *
     * @param name the name of the signal without the prefix SIG, such as HUP
     * @param action the action to run
     * @throws IllegalStateException if this runtime does not support handling the signal
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxied, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object instance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, instance, proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot handle signal " + name, e);
        }
    }
}
