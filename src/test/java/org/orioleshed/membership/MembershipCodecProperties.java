package org.orioleshed.membership;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;

/** Properties of {@link MembershipCodec} and {@link Member#merge}. */
class MembershipCodecProperties {
    private static final HostId HOST = new HostId("entry-1");

    private final MembershipCodec codec = new MembershipCodec();

    @Provide
    Arbitrary<Member> members() {
        return Combinators.combine(
                        Arbitraries.of("entry-1", "entry-2", "entry-3"),
                        Arbitraries.of("suva-a", "navua"),
                        Arbitraries.integers().between(0, 65_535),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.of(Member.Health.values()),
                        Arbitraries.integers().between(0, 64_000))
                .as(
                        (id, domain, port, incarnation, version, leaving, health, cpu) ->
                                new Member(
                                        new HostId(id),
                                        new FailureDomain(domain),
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(), port),
                                        incarnation,
                                        version,
                                        leaving,
                                        health,
                                        cpu));
    }

    @Provide
    Arbitrary<Member> recordsOfOneHost() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.of(Member.Health.values()))
                .as(
                        (incarnation, version, leaving, health) ->
                                new Member(
                                        HOST,
                                        new FailureDomain("suva-a"),
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                                        incarnation,
                                        version,
                                        leaving,
                                        health));
    }

    @Provide
    Arbitrary<MembershipMessage> messages() {
        Arbitrary<Rumor> host = members().map(Rumor.OfHost::new);
        Arbitrary<Rumor> mark =
                Combinators.combine(
                                Arbitraries.of(PlatformMark.Kind.values()),
                                Arbitraries.of("a", "b"),
                                Arbitraries.of(true, false),
                                Arbitraries.longs().greaterOrEqual(0))
                        .as(PlatformMark::new)
                        .map(Rumor.OfMark::new);
        Arbitrary<List<Rumor>> hosts = host.list().ofMaxSize(4);
        Arbitrary<List<Rumor>> rumors =
                Combinators.combine(hosts, mark.list().ofMaxSize(2))
                        .as(MembershipCodecProperties::concat);
        Arbitrary<Long> number = Arbitraries.longs();
        return Arbitraries.oneOf(
                Combinators.combine(number, number, rumors).as(MembershipMessage.Ping::new),
                Combinators.combine(number, number, rumors).as(MembershipMessage.Ack::new),
                Combinators.combine(number, Arbitraries.of("a", "b").map(HostId::new))
                        .as(MembershipMessage.PingRequest::new),
                rumors.map(MembershipMessage.Update::new),
                Combinators.combine(rumors, Arbitraries.of(true, false))
                        .as(MembershipMessage.View::new));
    }

    private static List<Rumor> concat(List<Rumor> first, List<Rumor> second) {
        return java.util.stream.Stream.concat(first.stream(), second.stream()).toList();
    }

    @Property(seed = "1")
    void encodedMessageDecodesToAnEqualMessage(@ForAll("messages") MembershipMessage message)
            throws BadMessageException {
        assertEquals(codec.decode(codec.encode(message)), message);
    }

    @Property(seed = "2")
    void arbitraryBytesDecodeOrThrowBadMessageException(@ForAll byte[] bytes) {
        try {
            codec.decode(bytes);
        } catch (BadMessageException e) {
            assertEquals(e.getMessage().isBlank(), false);
        }
    }

    @Property(seed = "3")
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("recordsOfOneHost") Member a,
            @ForAll("recordsOfOneHost") Member b,
            @ForAll("recordsOfOneHost") Member c) {
        assertEquals(a.merge(b), b.merge(a));
        assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
        assertEquals(a.merge(a), a);
    }
}
