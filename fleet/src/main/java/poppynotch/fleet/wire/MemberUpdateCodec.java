package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;

/**
 * Encodes and decodes updates about members, as CBOR maps within messages; see {@link
 * MessageCodec}. Unknown keys are ignored.
 */
final class MemberUpdateCodec {

    private static final MemberState[] STATES = MemberState.values();
    private static final MemberProfile.Phase[] PHASES = MemberProfile.Phase.values();

    private MemberUpdateCodec() {}

    static void write(CBORGenerator out, MemberUpdate update) throws IOException {
        out.writeStartObject();
        out.writeStringField("n", update.name());
        out.writeStringField("a", update.address());
        CborFields.writeNumber(out, "i", update.incarnation());
        CborFields.writeNumber(out, "r", update.run());
        CborFields.writeNumber(out, "s", update.state().ordinal());
        CborFields.writeTextIfPresent(out, "b", update.suspectedBy());
        if (update.ageMs() != 0) {
            CborFields.writeNumber(out, "o", update.ageMs());
        }
        MemberProfile profile = update.profile();
        if (profile != null) {
            out.writeObjectFieldStart("p");
            CborFields.writeTextIfPresent(out, "z", profile.zone());
            CborFields.writeTextIfPresent(out, "t", profile.tier());
            CborFields.writeTextIfPresent(out, "v", profile.version());
            CborFields.writeNumber(out, "h", profile.phase().ordinal());
            CborFields.writeTextIfPresent(out, "d", profile.adminAddress());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    /**
     * Reads an update.
     *
     * @throws MalformedMessageException if a field is missing or has an invalid value
     */
    static MemberUpdate read(JsonParser in) throws IOException, MalformedMessageException {
        CborFields.require(JsonToken.START_OBJECT, in);
        UpdateFields fields = new UpdateFields();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            fields.read(key, in);
        }
        if (!fields.isComplete()) {
            throw new MalformedMessageException("a claim that is not whole");
        }
        return fields.toUpdate();
    }

    /** The fields of an update that have been decoded so far. */
    private static final class UpdateFields {
        private String name = "";
        private String address = "";
        private long incarnation = -1;
        private long run = -1;
        private MemberState state;
        private String suspectedBy = "";
        private MemberProfile profile;
        private long ageMs;

        void read(String key, JsonParser in) throws IOException, MalformedMessageException {
            switch (key) {
                case "n" -> name = CborFields.readName(in);
                case "a" -> address = CborFields.readAddress(in);
                case "i" -> incarnation = in.getLongValue();
                case "r" -> run = in.getLongValue();
                case "s" -> state = CborFields.readEnum(STATES, in);
                case "b" -> suspectedBy = CborFields.readName(in);
                case "p" -> profile = readProfile(in);
                case "o" -> ageMs = in.getLongValue();
                default -> in.skipChildren();
            }
        }

        boolean isComplete() {
            return !name.isEmpty()
                    && !address.isEmpty()
                    && state != null
                    && run >= 0
                    && ageMs >= 0
                    && incarnation > 0
                    && incarnation <= MemberUpdate.MAX_INCARNATION;
        }

        MemberUpdate toUpdate() {
            return new MemberUpdate(
                    name, address, incarnation, run, state, suspectedBy, profile, ageMs);
        }
    }

    private static MemberProfile readProfile(JsonParser in)
            throws IOException, MalformedMessageException {
        String zone = "";
        String tier = "";
        String version = "";
        String adminAddress = "";
        MemberProfile.Phase phase = MemberProfile.Phase.STARTING;
        CborFields.require(JsonToken.START_OBJECT, in);
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "z" -> zone = CborFields.readName(in);
                case "t" -> tier = CborFields.readName(in);
                case "v" -> version = CborFields.readName(in);
                case "h" -> phase = CborFields.readEnum(PHASES, in);
                case "d" -> adminAddress = CborFields.readName(in);
                default -> in.skipChildren();
            }
        }
        return new MemberProfile(zone, tier, version, phase, adminAddress);
    }
}
