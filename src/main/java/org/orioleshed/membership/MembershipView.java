package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.HostId;

/** All that one host holds true of the fleet, and a digest of it kept up to date. */
final class MembershipView {
    private final Map<HostId, Member> members = new LinkedHashMap<>();
    private final Map<PlatformMark.Subject, PlatformMark> marks = new LinkedHashMap<>();
    private long digest;

    Member get(HostId id) {
        return members.get(id);
    }

    Collection<Member> members() {
        return members.values();
    }

    Collection<PlatformMark> marks() {
        return marks.values();
    }

    long digest() {
        return digest;
    }

    void put(Member member) {
        Member before = members.put(member.id(), member);
        digest ^= (before == null ? 0 : before.digest()) ^ member.digest();
    }

    void forget(HostId id) {
        Member before = members.remove(id);
        digest ^= before == null ? 0 : before.digest();
    }

    /**
     * Takes a mark unless a later one is known; returns whether it was new. That a host or server
     * is not leaving is kept only to end an earlier mark.
     */
    boolean putIfLater(PlatformMark mark) {
        PlatformMark before = marks.get(mark.subject());
        if (before == null ? !mark.leaving() : before.revision() >= mark.revision()) {
            return false;
        }
        marks.put(mark.subject(), mark);
        digest ^= (before == null ? 0 : before.digest()) ^ mark.digest();
        return true;
    }

    /** Returns whether the platform says that a host is leaving. */
    boolean isMarkedLeaving(HostId id) {
        PlatformMark mark = marks.get(new PlatformMark.Subject(PlatformMark.Kind.HOST, id.value()));
        return mark != null && mark.leaving();
    }

    /** Returns the whole view as news, the dead that are remembered included. */
    List<Rumor> all() {
        List<Rumor> all = new ArrayList<>(members.size() + marks.size());
        for (Member member : members.values()) {
            all.add(new Rumor.OfHost(member));
        }
        marks.values().forEach(mark -> all.add(new Rumor.OfMark(mark)));
        return all;
    }
}
