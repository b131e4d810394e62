package org.orioleshed.membership;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * What is held true of one entry host. The host itself raises its incarnation at each start, and
 * its version when it must refute what others say of it.
 *
 * @param id the host
 * @param domain its failure domain
 * @param address where it takes peer connections
 * @param incarnation grows with each start of the host
 * @param version grows with each refutation within an incarnation
 * @param leaving whether it takes nothing new; never taken back within an incarnation
 * @param health whether it answers
 */
public record Member(
        HostId id,
        FailureDomain domain,
        InetSocketAddress address,
        long incarnation,
        int version,
        boolean leaving,
        Health health) {
    /** Whether a host answers, in the order in which one word overrides another. */
    public enum Health {
        /** Answers. */
        ALIVE,
        /** Missed heartbeats. */
        SUSPECT,
        /** Missed them for too long. */
        DEAD
    }

    /** Returns what is true when both {@code this} and {@code other} were said of the host. */
    Member merge(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation ? this : other;
        }
        Member later = version >= other.version ? this : other;
        Health worst = health.compareTo(other.health) >= 0 ? health : other.health;
        Health merged = version == other.version ? worst : later.health;
        return later.with(later.version, leaving || other.leaving, merged);
    }

    Member withHealth(Health other) {
        return with(version, leaving, other);
    }

    Member asLeaving() {
        return with(version, true, health);
    }

    Member refuted(int newVersion) {
        return with(newVersion, leaving, Health.ALIVE);
    }

    private Member with(int newVersion, boolean newLeaving, Health newHealth) {
        if (newVersion == version && newLeaving == leaving && newHealth == health) {
            return this;
        }
        return new Member(id, domain, address, incarnation, newVersion, newLeaving, newHealth);
    }

    /** Returns the host as decisions see it. */
    public EntryHost toEntryHost() {
        EntryHost.State state =
                switch (health) {
                    case DEAD -> EntryHost.State.DEAD;
                    case SUSPECT -> leaving ? EntryHost.State.LEAVING : EntryHost.State.SUSPECT;
                    case ALIVE -> leaving ? EntryHost.State.LEAVING : EntryHost.State.ALIVE;
                };
        return new EntryHost(id, domain, incarnation, address, state);
    }

    /** Returns a digest of all that views compare; zero for the dead, which views forget. */
    long digest() {
        if (health == Health.DEAD) {
            return 0;
        }
        Hasher hasher = Hashing.murmur3_128().newHasher();
        return hasher.putUnencodedChars(id.value())
                .putLong(incarnation)
                .putInt(version)
                .putBoolean(leaving)
                .putUnencodedChars(health.name())
                .hash()
                .asLong();
    }
}
