package org.orioleshed.store;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.orioleshed.model.Payload;

/** Records what a watch reports: the keys of changes, "confirmed" and "broken". */
public final class WatchRecorder implements Store.Watcher {
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();

    /** Returns the next report; waits for it. */
    public String take() throws InterruptedException {
        return seen.take();
    }

    @Override
    public void onChange(String key, Optional<Payload> value, StoreRevision revision) {
        seen.add(key);
    }

    @Override
    public void onConfirmed() {
        seen.add("confirmed");
    }

    @Override
    public void onBreak(String detail) {
        seen.add("broken");
    }
}
