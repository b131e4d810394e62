package org.orioleshed.soak;

import java.io.IOException;
import java.io.OutputStream;
import org.orioleshed.platform.PlatformMain;

/** Runs the product's program, and ends at once when the soak that started it is gone. */
public final class HostMain {
    private static final int ORPHANED = 3;

    private HostMain() {}

    /** Runs it. */
    public static void main(String[] arguments) {
        Thread watcher = new Thread(HostMain::awaitParentsEnd, "parent");
        watcher.setDaemon(true);
        watcher.start();
        PlatformMain.main(arguments);
    }

    private static void awaitParentsEnd() {
        try {
            var unused = System.in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            System.err.println("error: " + e.getMessage());
        }
        Runtime.getRuntime().halt(ORPHANED);
    }
}
