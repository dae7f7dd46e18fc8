package poppynotch.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.LeaseCommand.Kind;

/** What the log makes of commands, repeated and out of date ones among them. */
class LeaseTableTest {

    private final LeaseTable ledger = new LeaseTable(0);

    private LeaseTable.Outcome apply(Kind kind, String member, long token, long renewal) {
        return ledger.apply(new LeaseCommand(kind, "d", member, 1, token, renewal));
    }

    @Test
    void tokensGrowAndRepeatsDoNoMoreThanTheFirst() {
        assertEquals(1, apply(Kind.ACQUIRE, "a", 0, 0).duty().token());
        assertEquals(1, apply(Kind.ACQUIRE, "a", 0, 0).duty().token(), "asked again");
        assertFalse(apply(Kind.ACQUIRE, "b", 0, 0).done());
        assertTrue(apply(Kind.RELEASE, "a", 1, 0).done());
        assertTrue(apply(Kind.RELEASE, "a", 1, 0).done(), "given back already");
        assertFalse(apply(Kind.RENEW, "a", 1, 0).done());
        assertEquals(2, apply(Kind.ACQUIRE, "b", 0, 0).duty().token());
        assertEquals(
                "b", apply(Kind.RELEASE, "a", 1, 0).duty().holder(), "an old word frees nothing");
    }

    @Test
    void aLeaseThatWasRenewedMeanwhileDoesNotEnd() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        apply(Kind.RENEW, "a", 1, 0);
        assertFalse(apply(Kind.EXPIRE, "a", 1, 1).done());
        assertTrue(apply(Kind.EXPIRE, "a", 1, 2).done());
        assertTrue(ledger.duties().get("d").isFree());
    }

    @Test
    void whoIsToHaveItNextGoesFirst() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        apply(Kind.MOVE, "b", 0, 0);
        assertEquals("b", apply(Kind.RENEW, "a", 1, 0).duty().wanted(), "the holder is told");
        apply(Kind.RELEASE, "a", 1, 0);
        assertFalse(apply(Kind.ACQUIRE, "c", 0, 0).done());
        assertTrue(apply(Kind.ACQUIRE, "b", 0, 0).done());
        assertEquals("", ledger.duties().get("d").wanted());
    }

    @Test
    void aGroupFoundedAnewGoesOnBehindAllTokensOfTheOneBefore() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        long before = ledger.duties().get("d").token();
        long after = new LeaseTable(1).apply(LeaseCommand.acquire("d", "a", 1)).duty().token();
        assertTrue(after > before + 1_000_000_000L);
        FencingGuard fence = new FencingGuard();
        assertTrue(fence.admits("d", after));
        assertFalse(fence.admits("d", before), "from the group before");
        assertFalse(fence.admits("d", 0));
        assertEquals(2, fence.refused());
    }

    /** A holder counts from before it asked, and ends by its own clock, whatever it hears later. */
    @Test
    void aHolderThatStoodStillNoLongerBelievesThatItHasIt() {
        List<String> events = new ArrayList<>();
        LeaseClient client =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        "a",
                        1,
                        List.of("k"),
                        new SplittableRandom(1),
                        new LeaseClient.Port() {
                            @Override
                            public long ask(LeaseClient.Question question) {
                                events.add(question.command().kind().toString());
                                return events.size();
                            }

                            @Override
                            public void ended(String duty, long token, String why) {
                                events.add(why);
                            }
                        });
        client.want(0, "d", 0);
        client.advance(0);
        client.told(
                900, 1, new LeaseClient.Answer(true, new LeaseTable.Lease("a", 1, 7, 1, ""), "k"));
        assertEquals(7, client.token(900, "d"));
        assertEquals(7, client.token(LeaseSettings.DEFAULT.holderMs() - 1, "d"));
        assertEquals(
                0,
                client.token(LeaseSettings.DEFAULT.holderMs(), "d"),
                "counted from the question");
        client.advance(60_000);
        assertTrue(events.contains("its time is over"));
        client.told(
                60_001,
                1,
                new LeaseClient.Answer(true, new LeaseTable.Lease("a", 1, 7, 2, ""), "k"));
        assertEquals(0, client.token(60_001, "d"), "an answer to no open question");
    }
}
