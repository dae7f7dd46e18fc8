package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.rollout.CanaryMetrics;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;

/** Has the stage of a release ride on membership's answers, and answers how calls ended here. */
public class RolloutStagePayload implements PiggybackPayload {

    /** The letter under which it travels; see {@link CompositePayload}. */
    public static final String LETTER = "r";

    /** Each process tells a step on so many times the decimal logarithm of the fleet's size. */
    private static final double RETRANSMIT_MULTIPLIER = 3;

    private static final double FRACTION_SCALE = 1_000_000;
    private static final RolloutStage.Phase[] PHASES = RolloutStage.Phase.values();

    /** How calls ended at one process, as it answers. */
    public record Report(long run, CanaryMetrics tally) {}

    private final RolloutParticipant participant;
    private final long run;
    private RolloutStage lastStage;
    private int transmissions;
    private long unreadable;

    /** Carries what a stager holds, for this process of its name. */
    public RolloutStagePayload(RolloutParticipant stager, long run) {
        this.participant = stager;
        this.run = run;
    }

    /** The question for a report. */
    public static ByteBuffer question() {
        return ByteBuffer.wrap(new byte[] {0});
    }

    @Override
    public final ByteBuffer next(double now, int bytes, int members) {
        RolloutStage stage = participant.stage(now);
        if (stage == null) {
            return Message.NOTHING;
        }
        if (stage != lastStage) {
            lastStage = stage;
            transmissions = 0;
        }
        if (transmissions >= Math.ceil(RETRANSMIT_MULTIPLIER * Math.log10(members + 9))) {
            return Message.NOTHING;
        }
        ByteBuffer next = encode(stage, participant.ageMs(now));
        if (next.remaining() > bytes) {
            return Message.NOTHING;
        }
        transmissions++;
        return next;
    }

    @Override
    public final void hear(double now, ByteBuffer bytes, double transitMs) {
        try {
            CborSequence.Reader in = new CborSequence.Reader(Message.bytes(bytes));
            long age = in.number();
            RolloutStage stage = decode(in);
            if (age < 0) {
                throw new IOException("an age that cannot be one");
            }
            participant.hear(now, stage, age + transitMs);
        } catch (IOException | IllegalArgumentException e) {
            unreadable++;
        }
    }

    @Override
    public final ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
        try {
            CanaryMetrics tally = participant.tally();
            CborSequence.PlainWriter out = new CborSequence.PlainWriter().number(run);
            for (CanaryMetrics.Count count : List.of(tally.calls(), tally.failed(), tally.slow())) {
                out.number(count.fresh()).number(count.old());
            }
            return ByteBuffer.wrap(out.bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Reads a report.
     *
     * @throws IOException if it is none
     */
    public static Report report(ByteBuffer answer) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.bytes(answer));
        return new Report(
                in.number(),
                new CanaryMetrics(
                        new CanaryMetrics.Count(in.number(), in.number()),
                        new CanaryMetrics.Count(in.number(), in.number()),
                        new CanaryMetrics.Count(in.number(), in.number())));
    }

    /** Stages that could not be read. */
    public final long unreadable() {
        return unreadable;
    }

    private static ByteBuffer encode(RolloutStage stage, double ageMs) {
        try {
            // Rounded up, as an age must never be told too young.
            CborSequence.PlainWriter out =
                    new CborSequence.PlainWriter()
                            .number((long) Math.ceil(ageMs))
                            .text(stage.release())
                            .text(stage.kind())
                            .number(stage.ids().size());
            for (String id : stage.ids()) {
                out.text(id);
            }
            return ByteBuffer.wrap(
                    out.number(stage.phase().ordinal())
                            .number(stage.number())
                            .number(Math.round(stage.part() * FRACTION_SCALE))
                            .number(stage.token())
                            .number(stage.step())
                            .text(stage.why())
                            .bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    private static RolloutStage decode(CborSequence.Reader in) throws IOException {
        String release = in.text();
        String kind = in.text();
        List<String> ids = new ArrayList<>();
        for (int left = in.small(); left > 0 && ids.size() <= RolloutStage.MOST_IDS; left--) {
            ids.add(in.text());
        }
        return new RolloutStage(
                release,
                kind,
                ids,
                in.one(PHASES),
                in.small(),
                in.number() / FRACTION_SCALE,
                in.number(),
                in.number(),
                in.text());
    }
}
