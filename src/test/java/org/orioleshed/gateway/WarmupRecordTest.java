package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.AccessRule;
import org.orioleshed.catalog.CallerLimits;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.StatedWarmup;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.store.StoreRevision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against statements of entries that count anew when the catalog is replayed. */
public class WarmupRecordTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final ServiceId SERVICE = new ServiceId("s");

    private WarmupRecord warmups;

    @BeforeMethod
    public void create() {
        warmups = new WarmupRecord();
    }

    private static PoolServer server(String id, long startMillis, long leftMillis, long revision) {
        return new PoolServer(
                        new ServerId(id),
                        SERVICE,
                        new InetSocketAddress("10.0.1.1", 80),
                        new FailureDomain("d"),
                        new VersionId("v1"),
                        8,
                        false,
                        startMillis)
                .withWarmup(
                        leftMillis < 0
                                ? StatedWarmup.NONE
                                : new StatedWarmup(leftMillis, StoreRevision.of(revision)));
    }

    /** Returns the time left and its age of each server that may be cold. */
    private List<String> at(long millis, PoolServer... servers) {
        return at(12, millis, servers);
    }

    private List<String> at(double warmupPerSecond, long millis, PoolServer... servers) {
        warmups.update(List.of(servers), millis * NANOS_PER_MILLI);
        Pool pool = new Pool(SERVICE, true, 0, 1, 3_000, warmupPerSecond);
        Catalog catalog =
                new Catalog(
                        1,
                        Map.of(),
                        Map.of(SERVICE, pool),
                        new AccessRule.Everybody(),
                        CallerLimits.DEFAULT);
        CatalogSnapshot snapshot =
                new CatalogSnapshot(
                        StoreRevision.of(1),
                        Optional.of(catalog),
                        CatalogSnapshot.EMPTY.operators(),
                        CatalogSnapshot.EMPTY.entries(),
                        List.of(servers),
                        List.of(),
                        Set.of());
        return warmups.events(snapshot, millis * NANOS_PER_MILLI).stream()
                .map(DispatchEvent.ServerCold.class::cast)
                .map(it -> it.server() + " " + it.leftMillis() + " " + it.ageMillis())
                .toList();
    }

    @Test
    public void aStatementCountsFromItsFirstSight() {
        PoolServer cold = server("a", 1, 2_000, 7);
        assertEquals(at(0, cold), List.of("a 2000 0"));
        assertEquals(at(500, cold), List.of("a 2000 500"));
        assertEquals(at(2_500, cold), List.of());
    }

    @Test
    public void theSameTimeInAnotherRevisionIsAnotherStatement() {
        var unused = at(0, server("a", 1, 2_000, 7));
        assertEquals(at(5_000, server("a", 1, 2_000, 8)), List.of("a 2000 0"));
    }

    @Test
    public void anEntryThatReturnsStatesNothingNew() {
        var unused = at(0, server("a", 1, 2_000, 7), server("b", 1, -1, 0));
        var unusedGone = at(100, server("b", 1, -1, 0));
        assertEquals(at(300, server("a", 1, -1, 0)), List.of("a 2000 300"));
    }

    /** After a restart of this host, the servers of its first list may have been up for long. */
    @Test
    public void onlyStartsAfterTheFirstListAreTakenForCold() {
        assertEquals(at(0, server("a", 1, -1, 0)), List.of());
        assertEquals(at(50, server("a", 1, -1, 0), server("b", 1, -1, 0)), List.of("b 3000 0"));
        assertEquals(at(100, server("a", 2, -1, 0)), List.of("a 3000 0"));
        assertEquals(at(200, server("a", 3, 0, 9)), List.of("a 0 0"));
    }

    @Test
    public void poolsWithoutWarmupHaveNoColdServers() {
        assertEquals(at(0, 0, server("a", 1, 2_000, 7)), List.of());
    }
}
