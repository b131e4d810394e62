package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.orioleshed.dispatch.RunEnd;
import org.testng.annotations.Test;

/** Tests of {@link Dispatcher}: who places a host's requests, whatever happens to the home. */
public class DispatcherTest {
    private static final RunEnd DONE = new RunEnd(RunEnd.Outcome.ANSWERED, 5, 50, 200);

    private final TwoHosts hosts = new TwoHosts(2);

    @Test
    public void theHostUpLongestIsTheHomeOfBoth() {
        assertEquals(hosts.a.dispatcher.homeName(), "10.0.0.1");
        assertEquals(hosts.b.dispatcher.homeName(), "10.0.0.1");
    }

    @Test
    public void theHomeKeepsTheServersPlacesOverBothHosts() {
        TwoHosts two = new TwoHosts(2);
        two.a.ask(1);
        two.b.ask(2);
        two.deliver();
        two.b.ask(3);
        two.deliver();
        assertEquals(two.a.told, List.of("1 x by=self"));
        assertEquals(two.b.told, List.of("2 x by=home"));
        two.a.dispatcher.ended(two.a.key(1), DONE);
        two.deliver();
        assertEquals(two.b.told, List.of("2 x by=home", "3 x by=home"));
    }

    @Test
    public void aSilentHomeIsDoneWithoutAfterAMoment() {
        TwoHosts two = new TwoHosts(2);
        two.cut(true);
        two.b.ask(1);
        two.run(40);
        assertEquals(two.b.told, List.of());
        two.run(60);
        assertEquals(two.b.told, List.of("1 x by=own"));
        two.b.ask(2);
        assertEquals(two.b.told.getLast(), "2 x by=own");
    }

    @Test
    public void afterACutTheHomeIsAskedAgain() {
        TwoHosts two = new TwoHosts(2);
        two.cut(true);
        two.b.ask(1);
        two.run(6_000);
        two.cut(false);
        two.run(6_000);
        two.b.dispatcher.ended(two.b.key(1), DONE);
        two.deliver();
        two.b.ask(2);
        two.deliver();
        assertEquals(two.b.told.getLast(), "2 x by=home");
    }

    @Test
    public void whatWaitsAtAHomeThatDiesIsPlacedByTheNext() {
        TwoHosts two = new TwoHosts(1);
        two.a.ask(1);
        two.b.ask(2);
        two.deliver();
        assertEquals(two.b.told, List.of());
        two.a.dead = true;
        two.run(5_000);
        assertEquals(two.b.dispatcher.homeName(), "10.0.0.2");
        assertTrue(two.b.told.getFirst().startsWith("2 x"), two.b.told.toString());
    }

    @Test
    public void aRequestThatWasWithdrawnHoldsNoPlace() {
        TwoHosts two = new TwoHosts(1);
        two.b.ask(1);
        two.b.dispatcher.withdraw(two.b.key(1));
        two.deliver();
        two.b.ask(2);
        two.deliver();
        assertEquals(two.b.told, List.of("2 x by=home"));
    }

    @Test
    public void aNewHomeLearnsWhatRunsAlready() {
        TwoHosts two = new TwoHosts(1);
        two.b.ask(1);
        two.deliver();
        two.a.dead = true;
        two.run(5_000);
        two.b.ask(2);
        two.run(200);
        assertEquals(two.b.told, List.of("1 x by=home"));
        two.b.dispatcher.ended(two.b.key(1), DONE);
        assertEquals(two.b.told, List.of("1 x by=home", "2 x by=self"));
    }
}
