package org.orioleshed.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.wire.MembershipWire;

/** Encodes membership messages as protobuf and decodes them. */
public final class MembershipCodec implements MessageCodec<MembershipMessage> {
    private static final int MAX_PORT = 65_535;

    @Override
    public byte[] encode(MembershipMessage message) {
        MembershipWire.Membership.Builder wire = MembershipWire.Membership.newBuilder();
        switch (message) {
            case MembershipMessage.Ping ping -> {
                wire.setKind(MembershipWire.Membership.Kind.PING)
                        .setSequence(ping.sequence())
                        .setViewDigest(ping.viewDigest());
                addRumors(wire, ping.rumors());
            }
            case MembershipMessage.Ack ack -> {
                wire.setKind(MembershipWire.Membership.Kind.ACK)
                        .setSequence(ack.sequence())
                        .setViewDigest(ack.viewDigest());
                addRumors(wire, ack.rumors());
            }
            case MembershipMessage.PingRequest request ->
                    wire.setKind(MembershipWire.Membership.Kind.PING_WANTED)
                            .setSequence(request.sequence())
                            .setTarget(request.target().value());
            case MembershipMessage.Update update -> {
                wire.setKind(MembershipWire.Membership.Kind.NEWS);
                addRumors(wire, update.rumors());
            }
            case MembershipMessage.View view -> {
                wire.setKind(MembershipWire.Membership.Kind.VIEW).setWantReply(view.wantReply());
                addRumors(wire, view.rumors());
            }
        }
        return wire.build().toByteArray();
    }

    private static void addRumors(MembershipWire.Membership.Builder wire, List<Rumor> rumors) {
        List<String> domains = new ArrayList<>();
        for (Rumor rumor : rumors) {
            switch (rumor) {
                case Rumor.OfHost host -> wire.addHosts(write(host.member(), domains));
                case Rumor.OfMark of ->
                        wire.addMarks(
                                MembershipWire.Membership.Mark.newBuilder()
                                        .setHost(of.mark().kind() == PlatformMark.Kind.HOST)
                                        .setId(of.mark().id())
                                        .setLeaving(of.mark().leaving())
                                        .setRevision(of.mark().revision()));
            }
        }
        wire.addAllDomains(domains);
    }

    private static MembershipWire.Membership.Host write(Member member, List<String> domains) {
        String domain = member.domain().value();
        int index = domains.indexOf(domain);
        if (index < 0) {
            index = domains.size();
            domains.add(domain);
        }
        return MembershipWire.Membership.Host.newBuilder()
                .setId(member.id().value())
                .setDomain(index)
                .setAddress(ByteString.copyFrom(member.address().getAddress().getAddress()))
                .setPort(member.address().getPort())
                .setIncarnation(member.incarnation())
                .setVersion(member.version())
                .setLeaving(member.leaving())
                .setHealth(write(member.health()))
                .setCpuMillicores(member.cpuMillicores())
                .build();
    }

    @Override
    public MembershipMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return read(MembershipWire.Membership.parseFrom(bytes));
        } catch (InvalidProtocolBufferException
                | IllegalArgumentException
                | UnknownHostException e) {
            throw new BadMessageException("bytes are not a valid membership message", e);
        }
    }

    private static MembershipMessage read(MembershipWire.Membership wire)
            throws BadMessageException, UnknownHostException {
        List<Rumor> rumors = new ArrayList<>();
        for (MembershipWire.Membership.Host host : wire.getHostsList()) {
            rumors.add(new Rumor.OfHost(read(host, wire)));
        }
        for (MembershipWire.Membership.Mark mark : wire.getMarksList()) {
            rumors.add(new Rumor.OfMark(read(mark)));
        }
        return switch (wire.getKind()) {
            case PING ->
                    new MembershipMessage.Ping(wire.getSequence(), wire.getViewDigest(), rumors);
            case ACK -> new MembershipMessage.Ack(wire.getSequence(), wire.getViewDigest(), rumors);
            case PING_WANTED ->
                    new MembershipMessage.PingRequest(
                            wire.getSequence(), new HostId(wire.getTarget()));
            case NEWS -> new MembershipMessage.Update(rumors);
            case VIEW -> new MembershipMessage.View(rumors, wire.getWantReply());
            case UNKNOWN, UNRECOGNIZED ->
                    throw new BadMessageException(
                            "unknown membership message kind " + wire.getKindValue());
        };
    }

    private static Member read(MembershipWire.Membership.Host host, MembershipWire.Membership wire)
            throws BadMessageException, UnknownHostException {
        boolean inRange =
                Integer.compareUnsigned(host.getDomain(), wire.getDomainsCount()) < 0
                        && Integer.compareUnsigned(host.getPort(), MAX_PORT) <= 0
                        && host.getVersion() >= 0
                        && host.getCpuMillicores() >= 0;
        if (!inRange) {
            throw new BadMessageException(
                    "host record out of range: domain index must be below "
                            + wire.getDomainsCount()
                            + ", port at most "
                            + MAX_PORT
                            + " and version and cpu_millicores at least 0, found domain index "
                            + Integer.toUnsignedString(host.getDomain())
                            + ", port "
                            + Integer.toUnsignedString(host.getPort())
                            + ", version "
                            + host.getVersion()
                            + ", cpu_millicores "
                            + host.getCpuMillicores());
        }
        InetAddress address = InetAddress.getByAddress(host.getAddress().toByteArray());
        return new Member(
                new HostId(host.getId()),
                new FailureDomain(wire.getDomains(host.getDomain())),
                new InetSocketAddress(address, host.getPort()),
                host.getIncarnation(),
                host.getVersion(),
                host.getLeaving(),
                read(host.getHealth()),
                host.getCpuMillicores());
    }

    private static PlatformMark read(MembershipWire.Membership.Mark mark) {
        PlatformMark.Kind kind = mark.getHost() ? PlatformMark.Kind.HOST : PlatformMark.Kind.SERVER;
        return new PlatformMark(kind, mark.getId(), mark.getLeaving(), mark.getRevision());
    }

    private static MembershipWire.Membership.Health write(Member.Health health) {
        return switch (health) {
            case ALIVE -> MembershipWire.Membership.Health.ALIVE;
            case SUSPECT -> MembershipWire.Membership.Health.SUSPECT;
            case DEAD -> MembershipWire.Membership.Health.DEAD;
        };
    }

    private static Member.Health read(MembershipWire.Membership.Health health)
            throws BadMessageException {
        return switch (health) {
            case ALIVE -> Member.Health.ALIVE;
            case SUSPECT -> Member.Health.SUSPECT;
            case DEAD -> Member.Health.DEAD;
            case UNRECOGNIZED -> throw new BadMessageException("unknown health in a host record");
        };
    }
}
