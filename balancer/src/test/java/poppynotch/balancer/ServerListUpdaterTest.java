package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Lists of servers and their changes. */
class ServerListUpdaterTest {

    @Test
    void sendsNothingToDrainingOrGoneServer() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(3));
        f.request(Fixture.REPEATABLE);
        f.change(
                Fixture.server("s0", 0, 0, ServerState.DRAINING),
                Fixture.server("s1", 0, 0, ServerState.GONE));
        int before = f.host.sent.size();
        for (int i = 0; i < 50; i++) {
            f.nowMs += 20;
            f.request(Fixture.REPEATABLE);
        }
        assertTrue(f.host.sent.stream().skip(before).allMatch(s -> s.server().equals("s2")));
    }

    @Test
    void removesServerMissingFromFullList() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(2));
        f.list(List.of(Fixture.server("s1")));
        f.request(Fixture.REPEATABLE);
        assertEquals("s1", f.host.last().server());
    }

    /**
     * Guards against work for every server when discovery responds without changes: a watch ends
     * that way every few seconds at every balancer. Measured in bytes, as times vary between runs.
     */
    @Test
    void allocatesAlmostNothingOnEmptyDeltaWithManyServers() {
        Fixture f = Fixture.of(10, 0, 1).list(Fixture.servers(3000));
        var threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        long self = Thread.currentThread().getId();
        f.change();
        long before = threads.getThreadAllocatedBytes(self);
        f.change();
        long allocated = threads.getThreadAllocatedBytes(self) - before;
        assertTrue(allocated < 4096, allocated + " bytes");
    }
}
