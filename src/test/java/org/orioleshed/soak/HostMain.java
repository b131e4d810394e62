package org.orioleshed.soak;

import java.io.IOException;
import java.io.OutputStream;
import org.orioleshed.platform.PlatformMain;

/** Runs {@link PlatformMain}, and halts when the soak process that started it has ended. */
public final class HostMain {
    private static final int ORPHANED_EXIT_STATUS = 3;

    private HostMain() {}

    /** Starts the host. */
    public static void main(String[] arguments) {
        Thread watcher = new Thread(HostMain::haltAfterParent, "parent");
        watcher.setDaemon(true);
        watcher.start();
        PlatformMain.main(arguments);
    }

    private static void haltAfterParent() {
        try {
            var unused = System.in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            System.err.println("error: " + e.getMessage());
        }
        Runtime.getRuntime().halt(ORPHANED_EXIT_STATUS);
    }
}
