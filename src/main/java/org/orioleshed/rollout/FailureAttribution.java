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
 * Attributes a failure to the version or to the content of the request. A failure counts against
 * the version if the content has not failed on it before, or if the content succeeded on the other
 * version. Repeated failures of the same content and content that fails on both versions do not
 * count. All runs ended by one crash of a server count as one failure.
 */
final class FailureAttribution {
    private static final int MAX_CONTENTS = 4_096;
    private static final int MAX_CRASHES = 64;
    private static final long CRASH_WINDOW_NANOS = 2_000_000_000L;

    private final Cache<Content, Boolean> succeededContents = newContentCache();
    private final Cache<Content, RolloutMessage.Key> failedContents = newContentKeyCache();
    private final Deque<Crash> crashes = new ArrayDeque<>();

    /** The cause that a failure is attributed to. */
    sealed interface Cause {
        /** The failure counts against the version. */
        record Version() implements Cause {}

        /**
         * The failure is caused by the content, or already counted.
         *
         * @param excused the key of an earlier failure that must no longer count against its
         *     version
         */
        record Content(Optional<RolloutMessage.Key> excused) implements Cause {}
    }

    private static final Cause VERSION = new Cause.Version();
    private static final Cause CONTENT = new Cause.Content(Optional.empty());

    void recordSuccess(boolean onNew, Fingerprint content) {
        succeededContents.put(new Content(onNew, content), true);
    }

    /** Attributes a run that the server answered with an error. */
    Cause attributeFailure(boolean onNew, RolloutMessage.Key key, Fingerprint content) {
        Content sameVersion = new Content(onNew, content);
        Content otherVersion = new Content(!onNew, content);
        if (succeededContents.getIfPresent(otherVersion) != null) {
            return VERSION;
        }
        boolean repeated = failedContents.getIfPresent(sameVersion) != null;
        RolloutMessage.Key earlierKey = failedContents.getIfPresent(otherVersion);
        failedContents.put(sameVersion, key);
        if (earlierKey != null) {
            failedContents.invalidate(otherVersion);
            return new Cause.Content(Optional.of(earlierKey));
        }
        return repeated ? CONTENT : VERSION;
    }

    /** Attributes a run that ended with a crash of its server. */
    Cause attributeCrash(
            long nowNanos,
            boolean onNew,
            RolloutMessage.Key key,
            ServerId server,
            Fingerprint content) {
        Crash open = findOpenCrash(nowNanos, server);
        boolean succeedsOnOther =
                succeededContents.getIfPresent(new Content(!onNew, content)) != null;
        Crash earlier = succeedsOnOther ? null : findEarlierCrash(content, open);
        if (open == null) {
            addCrash(new Crash(nowNanos, server, key, content, earlier != null));
            return earlier == null ? VERSION : excuse(earlier);
        }
        open.contents.add(content);
        return earlier == null ? CONTENT : excuse(open);
    }

    private Cause excuse(Crash crash) {
        if (crash.excused) {
            return CONTENT;
        }
        crash.excused = true;
        return new Cause.Content(Optional.of(crash.key));
    }

    private Crash findOpenCrash(long nowNanos, ServerId server) {
        for (Crash crash : crashes) {
            if (crash.server.equals(server) && nowNanos - crash.startNanos < CRASH_WINDOW_NANOS) {
                return crash;
            }
        }
        return null;
    }

    private Crash findEarlierCrash(Fingerprint content, Crash except) {
        for (Crash crash : crashes) {
            if (crash != except && crash.contents.contains(content)) {
                return crash;
            }
        }
        return null;
    }

    private void addCrash(Crash crash) {
        crashes.addLast(crash);
        if (crashes.size() > MAX_CRASHES) {
            crashes.removeFirst();
        }
    }

    private static Cache<Content, Boolean> newContentCache() {
        return CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(MAX_CONTENTS).build();
    }

    private static Cache<Content, RolloutMessage.Key> newContentKeyCache() {
        return CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(MAX_CONTENTS).build();
    }

    private record Content(boolean onNew, Fingerprint fingerprint) {}

    /** One crash of a server, with the content of all runs on it. */
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
