package org.orioleshed.dispatch;

import java.util.stream.Collectors;
import org.orioleshed.model.PartId;
import org.orioleshed.model.ServerId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.quarantine.ServerStart;
import org.orioleshed.quarantine.Suspect;
import org.orioleshed.wire.DispatchWire.Dispatch;

/** Encodes crashes and what is quarantined for them as protobuf. */
final class QuarantineCodec {
    private QuarantineCodec() {}

    static Dispatch.Crash write(CrashReport.Seen crash) {
        Dispatch.Crash.Builder wire =
                Dispatch.Crash.newBuilder()
                        .setServer(crash.server().id().value())
                        .setStartMillis(crash.server().startMillis())
                        .setAgeMillis(crash.ageMillis());
        crash.runs().forEach(run -> wire.addRuns(write(run)));
        return wire.build();
    }

    private static Dispatch.Content write(RequestContent run) {
        Dispatch.Content.Builder wire =
                Dispatch.Content.newBuilder().setFingerprint(run.fingerprint());
        run.parts().forEach(part -> wire.addParts(part.value()));
        return wire.build();
    }

    static CrashReport.Seen read(Dispatch.Crash wire) {
        return new CrashReport.Seen(
                new ServerStart(new ServerId(wire.getServer()), wire.getStartMillis()),
                wire.getAgeMillis(),
                wire.getRunsList().stream().map(QuarantineCodec::read).toList());
    }

    private static RequestContent read(Dispatch.Content wire) {
        return new RequestContent(
                wire.getFingerprint(),
                wire.getPartsList().stream().map(PartId::new).collect(Collectors.toSet()));
    }

    static Dispatch.Held write(CrashReport.Held held) {
        return Dispatch.Held.newBuilder()
                .setSuspect(write(held.suspect()))
                .setCrashes(held.crashes())
                .setAgeMillis(held.ageMillis())
                .setLeftMillis(held.leftMillis())
                .setTimes(held.times())
                .build();
    }

    static CrashReport.Held read(Dispatch.Held wire) {
        return new CrashReport.Held(
                read(wire.getSuspect()),
                wire.getCrashes(),
                wire.getAgeMillis(),
                wire.getLeftMillis(),
                wire.getTimes());
    }

    static Dispatch.Suspect write(Suspect suspect) {
        Dispatch.Suspect.Builder wire = Dispatch.Suspect.newBuilder();
        return switch (suspect) {
            case Suspect.Content content -> wire.setContent(content.fingerprint()).build();
            case Suspect.Part part -> wire.setPart(part.id().value()).build();
        };
    }

    static Suspect read(Dispatch.Suspect wire) {
        return switch (wire.getKindCase()) {
            case CONTENT -> new Suspect.Content(wire.getContent());
            case PART -> new Suspect.Part(new PartId(wire.getPart()));
            case KIND_NOT_SET ->
                    throw new IllegalArgumentException("a suspect must be a content or a part");
        };
    }
}
