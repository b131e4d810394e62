package org.orioleshed.routing;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.peer.BadMessageException;

/**
 * Properties of {@link RoutingCodec}: round trips, and arbitrary or damaged bytes, which must not
 * cause any other exception than {@link BadMessageException}.
 */
class RoutingCodecProperties {
    private static final RunId RUN = FleetSnapshots.run(7);
    private static final ServerId SERVER = new ServerId("suva-a-1");
    private static final Payload TEXT = Payload.of("ngunu \u0e44\u0e17\u0e22");

    private static final List<RoutingMessage> MESSAGES =
            List.of(
                    new RoutingMessage.Offered(RUN, SERVER, FleetSnapshots.offer(Tier.PATIENT, -3)),
                    new RoutingMessage.Granted(RUN, SERVER, 1_000),
                    new RoutingMessage.Refused(
                            RUN, SERVER, RoutingMessage.RefusalReason.OVERLOAD, true, 12),
                    new RoutingMessage.Refused(
                            RUN, SERVER, RoutingMessage.RefusalReason.POISON, false, 0),
                    new RoutingMessage.Withdrawn(RUN, SERVER),
                    new RoutingMessage.Placed(RUN, SERVER, TEXT, 3, 256),
                    new RoutingMessage.Tokens(RUN, 4, 2, TEXT),
                    new RoutingMessage.Credit(RUN, 64),
                    new RoutingMessage.Cancelled(RUN),
                    new RoutingMessage.Ended(RUN, new RunEnd.Finished(9)),
                    new RoutingMessage.Ended(RUN, new RunEnd.Cancelled(9)),
                    new RoutingMessage.Ended(RUN, new RunEnd.Preempted(9)),
                    new RoutingMessage.Ended(RUN, new RunEnd.NeverStarted()),
                    new RoutingMessage.Ended(RUN, new RunEnd.EngineError(true, "busy")),
                    new RoutingMessage.Ended(RUN, new RunEnd.Broken(true, false)),
                    new RoutingMessage.ServerLoads(List.of()),
                    new RoutingMessage.ServerLoads(
                            List.of(
                                    new RoutingMessage.ServerLoad(
                                            SERVER, 3, 8, List.of(0L, 5L), 4_000, 31))),
                    new RoutingMessage.DomainLoads(
                            new FailureDomain("navua"),
                            List.of(
                                    new RoutingMessage.ModelLoad(
                                            new ModelId("letters"),
                                            3,
                                            5,
                                            List.of(0L, 1L),
                                            List.of(SERVER)))));

    private final RoutingCodec codec = new RoutingCodec();

    @Provide
    Arbitrary<RoutingMessage> messages() {
        return Arbitraries.of(MESSAGES);
    }

    @Property(seed = "41")
    boolean decodeInvertsEncode(@ForAll("messages") RoutingMessage message)
            throws BadMessageException {
        return codec.decode(codec.encode(message)).equals(message);
    }

    @Property(seed = "42")
    boolean arbitraryBytesDecodeOrFailWithBadMessage(@ForAll @Size(max = 200) byte[] bytes) {
        return decodesOrFails(bytes);
    }

    @Property(seed = "43")
    boolean damagedBytesDecodeOrFailWithBadMessage(
            @ForAll("messages") RoutingMessage message,
            @ForAll @IntRange(min = 0, max = 1_000) int position,
            @ForAll byte value,
            @ForAll @IntRange(min = 0, max = 3) int cut) {
        byte[] bytes = codec.encode(message);
        bytes[position % bytes.length] = value;
        byte[] damaged = Arrays.copyOf(bytes, Math.max(0, bytes.length - cut));
        return decodesOrFails(damaged);
    }

    private boolean decodesOrFails(byte[] bytes) {
        try {
            return codec.decode(bytes) != null;
        } catch (BadMessageException e) {
            return e.getMessage() != null;
        }
    }
}
