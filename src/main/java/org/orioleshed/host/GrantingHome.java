package org.orioleshed.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Machine;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RunEnd;

/** A home that grants every offer at once; stands in until homes have their queues. */
final class GrantingHome implements Machine<HostEvent, HostAction> {
    private final Map<RunId, HostId> accepting = new HashMap<>();
    private final Map<RunId, ServerId> servers = new HashMap<>();

    @Override
    public List<HostAction> on(long nowNanos, HostEvent event) {
        List<HostAction> out = new ArrayList<>();
        switch (event) {
            case HostEvent.RoutingReceived received ->
                    routed(received.from(), received.message(), out);
            case HostEvent.RunTokens tokens when accepting.containsKey(tokens.run()) ->
                    out.add(
                            new HostAction.SendRouting(
                                    accepting.get(tokens.run()),
                                    new RoutingMessage.Tokens(
                                            tokens.run(),
                                            tokens.firstToken(),
                                            tokens.count(),
                                            tokens.text())));
            case HostEvent.RunEnded ended when accepting.containsKey(ended.run()) -> {
                servers.remove(ended.run());
                out.add(
                        new HostAction.SendRouting(
                                accepting.remove(ended.run()),
                                new RoutingMessage.Ended(ended.run(), ended.end())));
            }
            case HostEvent.DrainAsked asked -> out.add(new HostAction.Drained());
            default -> {}
        }
        return out;
    }

    private void routed(HostId from, RoutingMessage message, List<HostAction> out) {
        switch (message) {
            case RoutingMessage.Offered offered ->
                    out.add(
                            new HostAction.SendRouting(
                                    from,
                                    new RoutingMessage.Granted(
                                            offered.run(), offered.server(), 1_000)));
            case RoutingMessage.Placed placed -> {
                accepting.put(placed.run(), from);
                servers.put(placed.run(), placed.server());
                out.add(
                        new HostAction.StartRun(
                                placed.run(),
                                placed.server(),
                                placed.body(),
                                placed.resumeFromToken()));
            }
            case RoutingMessage.Cancelled cancelled -> cancel(from, cancelled.run(), out);
            default -> {}
        }
    }

    private void cancel(HostId from, RunId run, List<HostAction> out) {
        ServerId server = servers.get(run);
        if (server == null) {
            out.add(
                    new HostAction.SendRouting(
                            from, new RoutingMessage.Ended(run, new RunEnd.NeverStarted())));
            return;
        }
        out.add(new HostAction.CancelRun(run, server));
    }
}
