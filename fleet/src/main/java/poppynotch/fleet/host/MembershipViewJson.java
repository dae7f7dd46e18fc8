package poppynotch.fleet.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;
import java.util.Map;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.MembershipView;

/** Writes a membership view as one line of JSON, for the admin server. Stateless. */
final class MembershipViewJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private MembershipViewJson() {}

    /**
     * Formats a membership view as one line of JSON.
     *
     * @param fleet name of the fleet
     * @param counts counts of messages, bytes and errors, by name
     */
    static String of(String fleet, MembershipView view, Map<String, Long> counts) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("fleet", fleet);
            out.writeStringField("name", view.name());
            out.writeNumberField("epoch", view.epoch());
            out.writeStringField("digest", Long.toHexString(view.digest()));
            out.writeNumberField("present", view.presentCount());
            out.writeNumberField("same", view.matchingViews());
            out.writeNumberField("other", view.differingViews());
            out.writeNumberField("agreed", view.agreedMembers());
            out.writeBooleanField("majority", view.majorityPresent());
            out.writeBooleanField("superseded", view.superseded());
            out.writeNumberField("health", view.healthScore());
            out.writeObjectFieldStart("counts");
            for (Map.Entry<String, Long> count : counts.entrySet()) {
                out.writeNumberField(count.getKey(), count.getValue());
            }
            out.writeEndObject();
            out.writeArrayFieldStart("members");
            for (MembershipView.Member member : view.members()) {
                write(out, member);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("failed to write JSON to memory", e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, MembershipView.Member member) throws IOException {
        MemberUpdate update = member.update();
        MemberProfile profile = update.profile();
        out.writeStartObject();
        out.writeStringField("name", update.name());
        out.writeStringField("address", update.address());
        out.writeStringField("state", update.state().name().toLowerCase(Locale.ROOT));
        out.writeNumberField("incarnation", update.incarnation());
        out.writeStringField("run", Long.toHexString(update.run()));
        out.writeNumberField("since_ms", (long) member.sinceMs());
        if (profile != null) {
            out.writeStringField("phase", profile.phase().name().toLowerCase(Locale.ROOT));
            out.writeStringField("zone", profile.zone());
            out.writeStringField("tier", profile.tier());
            out.writeStringField("version", profile.version());
            out.writeStringField("door", profile.adminAddress());
        }
        out.writeEndObject();
    }
}
