package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.HostId;

/** One host's records of the fleet, with an incrementally updated digest. */
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
        Member previous = members.put(member.id(), member);
        digest ^= (previous == null ? 0 : previous.digest()) ^ member.digest();
    }

    void remove(HostId id) {
        Member previous = members.remove(id);
        digest ^= previous == null ? 0 : previous.digest();
    }

    /**
     * Stores a mark unless one of the same or a higher revision is stored; returns whether it was
     * stored. A mark that is not leaving is stored only to replace an earlier one.
     */
    boolean putIfNewer(PlatformMark mark) {
        PlatformMark previous = marks.get(mark.subject());
        if (previous == null ? !mark.leaving() : previous.revision() >= mark.revision()) {
            return false;
        }
        marks.put(mark.subject(), mark);
        digest ^= (previous == null ? 0 : previous.digest()) ^ mark.digest();
        return true;
    }

    /** Returns whether the platform marks a host as leaving. */
    boolean isMarkedLeaving(HostId id) {
        PlatformMark mark = marks.get(new PlatformMark.Subject(PlatformMark.Kind.HOST, id.value()));
        return mark != null && mark.leaving();
    }

    /** Returns the whole view as rumors, including retained dead hosts. */
    List<Rumor> toRumors() {
        List<Rumor> rumors = new ArrayList<>(members.size() + marks.size());
        for (Member member : members.values()) {
            rumors.add(new Rumor.OfHost(member));
        }
        marks.values().forEach(mark -> rumors.add(new Rumor.OfMark(mark)));
        return rumors;
    }
}
