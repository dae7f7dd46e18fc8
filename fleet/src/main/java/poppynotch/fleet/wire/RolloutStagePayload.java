package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.RetransmitLimit;
import poppynotch.fleet.rollout.CanaryMetrics;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;

/**
 * Disseminates the stage of a rollout, piggybacked on membership messages, and answers the
 * controller's questions for the metrics of this process.
 *
 * <p>Confined to the thread of its {@link RolloutParticipant}.
 */
public class RolloutStagePayload implements PiggybackPayload {

    /** The letter of this payload in a {@link CompositePayload}. */
    public static final String LETTER = "r";

    /** A stage is transmitted this many times the decimal logarithm of the fleet's size. */
    private static final double RETRANSMIT_MULTIPLIER = 3;

    /** A fraction is encoded as an integer, in millionths. */
    private static final double FRACTION_SCALE = 1_000_000;

    private static final RolloutStage.Phase[] PHASES = RolloutStage.Phase.values();

    /**
     * The answer of one process.
     *
     * @param run distinguishes processes of one name
     * @param tally how calls ended there
     */
    public record Report(long run, CanaryMetrics tally) {}

    private final RolloutParticipant participant;
    private final long run;

    /** The stage that was transmitted last. */
    private RolloutStage lastStage;

    private int transmissions;
    private long malformed;

    /**
     * Creates a payload for the stage that a participant knows.
     *
     * @param run distinguishes this process from others of its name
     */
    public RolloutStagePayload(RolloutParticipant participant, long run) {
        this.participant = participant;
        this.run = run;
    }

    /** Encodes the question for a process's metrics. */
    public static ByteBuffer question() {
        return ByteBuffer.wrap(new byte[] {0});
    }

    @Override
    public final ByteBuffer next(double now, int maxBytes, int memberCount) {
        RolloutStage stage = participant.stage(now);
        if (stage == null) {
            return Message.NOTHING;
        }
        if (stage != lastStage) {
            lastStage = stage;
            transmissions = 0;
        }
        if (transmissions >= RetransmitLimit.transmissions(RETRANSMIT_MULTIPLIER, memberCount)) {
            return Message.NOTHING;
        }
        ByteBuffer next = encode(stage, participant.ageMs(now));
        if (next.remaining() > maxBytes) {
            return Message.NOTHING;
        }
        transmissions++;
        return next;
    }

    @Override
    public final void hear(double now, ByteBuffer received, double transitMs) {
        try {
            CborSequence.Reader in = new CborSequence.Reader(Message.bytes(received));
            long ageMs = in.number();
            RolloutStage stage = decode(in);
            if (ageMs < 0) {
                throw new IOException("an age that cannot be one");
            }
            participant.hear(now, stage, ageMs + transitMs);
        } catch (IOException | IllegalArgumentException e) {
            malformed++;
        }
    }

    @Override
    public final ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
        try {
            CanaryMetrics metrics = participant.tally();
            CborSequence.PlainWriter out = new CborSequence.PlainWriter().number(run);
            for (CanaryMetrics.Count count :
                    List.of(metrics.calls(), metrics.failed(), metrics.slow())) {
                out.number(count.fresh()).number(count.old());
            }
            return ByteBuffer.wrap(out.bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Decodes the answer of a process.
     *
     * @throws IOException if the bytes are no such answer
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

    /** Number of stages that could not be decoded. */
    public final long unreadable() {
        return malformed;
    }

    private static ByteBuffer encode(RolloutStage stage, double ageMs) {
        try {
            // Rounded up: an age must never be understated.
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
        for (int remaining = in.small();
                remaining > 0 && ids.size() <= RolloutStage.MOST_IDS;
                remaining--) {
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
