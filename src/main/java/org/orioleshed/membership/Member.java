package org.orioleshed.membership;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * The membership record of one entry host. Only the host itself raises its incarnation, at each
 * start, and its version, to refute a record of it that others propagate.
 *
 * @param id the host
 * @param domain its failure domain
 * @param address where it accepts peer connections
 * @param incarnation increases with each start of the host
 * @param version increases with each refutation within an incarnation
 * @param leaving whether it accepts no new work; never reset within an incarnation
 * @param health whether it responds to pings
 * @param cpuMillicores the processor time that it may use, in thousandths of a core; 0 if unknown
 */
public record Member(
        HostId id,
        FailureDomain domain,
        InetSocketAddress address,
        long incarnation,
        int version,
        boolean leaving,
        Health health,
        int cpuMillicores) {
    /** Creates a record of a host whose processor time is unknown. */
    public Member(
            HostId id,
            FailureDomain domain,
            InetSocketAddress address,
            long incarnation,
            int version,
            boolean leaving,
            Health health) {
        this(id, domain, address, incarnation, version, leaving, health, 0);
    }

    /** Whether a host responds to pings; at equal versions the later constant wins a merge. */
    public enum Health {
        /** Responds to pings. */
        ALIVE,
        /** Did not respond to a ping. */
        SUSPECT,
        /** Did not refute the suspicion in time. */
        DEAD
    }

    /** Returns the merge of two records of the host; commutative, associative and idempotent. */
    Member merge(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation ? this : other;
        }
        Member newer = version >= other.version ? this : other;
        Health worst = health.compareTo(other.health) >= 0 ? health : other.health;
        Health merged = version == other.version ? worst : newer.health;
        return newer.withCpu(Math.max(cpuMillicores, other.cpuMillicores))
                .with(newer.version, leaving || other.leaving, merged);
    }

    /** A host of an earlier version passes records on without the processor time. */
    private Member withCpu(int newMillicores) {
        if (newMillicores == cpuMillicores) {
            return this;
        }
        return new Member(
                id, domain, address, incarnation, version, leaving, health, newMillicores);
    }

    Member withHealth(Health newHealth) {
        return with(version, leaving, newHealth);
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
        return new Member(
                id, domain, address, incarnation, newVersion, newLeaving, newHealth, cpuMillicores);
    }

    /**
     * Returns the class of the host by its processor time: hosts of one class differ by less than a
     * factor of two. A difference within a class is not worth a change of roles.
     */
    public int cpuClass() {
        return Integer.SIZE - Integer.numberOfLeadingZeros(cpuMillicores);
    }

    /** Returns the host in the form that the placement code uses. */
    public EntryHost toEntryHost() {
        EntryHost.State state =
                switch (health) {
                    case DEAD -> EntryHost.State.DEAD;
                    case SUSPECT -> leaving ? EntryHost.State.LEAVING : EntryHost.State.SUSPECT;
                    case ALIVE -> leaving ? EntryHost.State.LEAVING : EntryHost.State.ALIVE;
                };
        return new EntryHost(id, domain, incarnation, address, state);
    }

    /** Returns a digest of the fields that views compare; zero for dead hosts, which views drop. */
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
