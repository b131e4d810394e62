package org.orioleshed.rollout;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.ServerId;

/**
 * Decides whether a failure is the version's or the content's. A version is blamed for different
 * content that fails on it, and for content that does well on the other version; not for the same
 * content over and over, nor for content that fails on both. Runs that a server's crash takes along
 * count as one failure together.
 */
final class Blame {
    private static final int REMEMBERED_CONTENTS = 4_096;
    private static final int REMEMBERED_CRASHES = 64;
    private static final long CRASH_SPAN_NANOS = 2_000_000_000L;

    private final Cache<Content, Boolean> succeeded = contents();
    private final Cache<Content, RolloutMessage.Key> failed = contentKeys();
    private final Deque<Crash> crashes = new ArrayDeque<>();

    /** What a failure means. */
    sealed interface Verdict {
        /** The version is to blame. */
        record Version() implements Verdict {}

        /**
         * The content is, or nobody.
         *
         * @param excused an earlier failure that turns out to be the content's too
         */
        record Content(Optional<RolloutMessage.Key> excused) implements Verdict {}
    }

    private static final Verdict VERSION = new Verdict.Version();
    private static final Verdict CONTENT = new Verdict.Content(Optional.empty());

    /** Takes note of a run that went well. */
    void succeeded(boolean onNew, Fingerprint content) {
        succeeded.put(new Content(onNew, content), true);
    }

    /** Judges a run that the server answered with an error. */
    Verdict failed(boolean onNew, RolloutMessage.Key key, Fingerprint content) {
        Content here = new Content(onNew, content);
        Content there = new Content(!onNew, content);
        if (succeeded.getIfPresent(there) != null) {
            return VERSION;
        }
        boolean again = failed.getIfPresent(here) != null;
        RolloutMessage.Key other = failed.getIfPresent(there);
        failed.put(here, key);
        if (other != null) {
            failed.invalidate(there);
            return new Verdict.Content(Optional.of(other));
        }
        return again ? CONTENT : VERSION;
    }

    /** Judges a run that ended with its server's crash. */
    Verdict crashed(
            long nowNanos,
            boolean onNew,
            RolloutMessage.Key key,
            ServerId server,
            Fingerprint content) {
        Crash open = openCrash(nowNanos, server);
        boolean knownGood = succeeded.getIfPresent(new Content(!onNew, content)) != null;
        Crash earlier = knownGood ? null : earlierCrash(content, open);
        if (open == null) {
            remember(new Crash(nowNanos, server, key, content, earlier != null));
            return earlier == null ? VERSION : excuse(earlier);
        }
        open.contents.add(content);
        return earlier == null ? CONTENT : excuse(open);
    }

    private Verdict excuse(Crash crash) {
        if (crash.excused) {
            return CONTENT;
        }
        crash.excused = true;
        return new Verdict.Content(Optional.of(crash.key));
    }

    private Crash openCrash(long nowNanos, ServerId server) {
        for (Crash crash : crashes) {
            if (crash.server.equals(server) && nowNanos - crash.startNanos < CRASH_SPAN_NANOS) {
                return crash;
            }
        }
        return null;
    }

    private Crash earlierCrash(Fingerprint content, Crash except) {
        for (Crash crash : crashes) {
            if (crash != except && crash.contents.contains(content)) {
                return crash;
            }
        }
        return null;
    }

    private void remember(Crash crash) {
        crashes.addLast(crash);
        if (crashes.size() > REMEMBERED_CRASHES) {
            crashes.removeFirst();
        }
    }

    private static Cache<Content, Boolean> contents() {
        return CacheBuilder.newBuilder()
                .concurrencyLevel(1)
                .maximumSize(REMEMBERED_CONTENTS)
                .build();
    }

    private static Cache<Content, RolloutMessage.Key> contentKeys() {
        return CacheBuilder.newBuilder()
                .concurrencyLevel(1)
                .maximumSize(REMEMBERED_CONTENTS)
                .build();
    }

    private record Content(boolean onNew, Fingerprint fingerprint) {}

    /** One crash of a server, with all content that ran there. */
    private static final class Crash {
        final long startNanos;
        final ServerId server;
        final RolloutMessage.Key key;
        final Set<Fingerprint> contents = new HashSet<>();
        boolean excused;

        Crash(
                long startNanos,
                ServerId server,
                RolloutMessage.Key key,
                Fingerprint content,
                boolean excused) {
            this.startNanos = startNanos;
            this.excused = excused;
            this.server = server;
            this.key = key;
            contents.add(content);
        }
    }
}
