package org.orioleshed.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestKey;
import org.orioleshed.request.WireForms;
import org.orioleshed.wire.ClaimWire;

/** Encodes and decodes heads and pages as protobuf. */
final class ClaimCodec {
    private ClaimCodec() {}

    /** Thrown if a stored value is not a valid head or page. */
    static final class BadPageException extends Exception {
        private static final long serialVersionUID = 1L;

        BadPageException(Exception cause) {
            super("malformed head or page of claims: " + cause.getMessage(), cause);
        }
    }

    static Payload encode(ClaimHead head) {
        ClaimWire.Head.Builder proto =
                ClaimWire.Head.newBuilder()
                        .setClockMillis(head.clockMillis())
                        .setNextGeneration(head.nextGeneration());
        head.records().values().forEach(record -> proto.addRecords(record(record)));
        for (PageRef page : head.pages()) {
            proto.addPagesBuilder()
                    .setSlot(page.slot())
                    .setGeneration(page.generation())
                    .setVersion(page.version())
                    .setNewestMillis(page.newestMillis());
        }
        return Payload.of(proto.build().toByteArray());
    }

    static Payload encode(ClaimPage page) {
        ClaimWire.Page.Builder proto =
                ClaimWire.Page.newBuilder()
                        .setGeneration(page.generation())
                        .setVersion(page.version());
        page.records().forEach(record -> proto.addRecords(record(record)));
        return Payload.of(proto.build().toByteArray());
    }

    static ClaimHead head(Payload bytes) throws BadPageException {
        try {
            ClaimWire.Head proto = ClaimWire.Head.parseFrom(bytes.toBytes());
            Map<RequestKey, ClaimRecord> records = new LinkedHashMap<>();
            for (ClaimWire.Record record : proto.getRecordsList()) {
                ClaimRecord decoded = record(record);
                records.put(decoded.key(), decoded);
            }
            List<PageRef> pages = new ArrayList<>();
            for (ClaimWire.PageRef page : proto.getPagesList()) {
                pages.add(
                        new PageRef(
                                page.getSlot(),
                                page.getGeneration(),
                                page.getVersion(),
                                page.getNewestMillis()));
            }
            return new ClaimHead(
                    proto.getClockMillis(), proto.getNextGeneration(), records, List.copyOf(pages));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadPageException(e);
        }
    }

    static ClaimPage page(Payload bytes) throws BadPageException {
        try {
            ClaimWire.Page proto = ClaimWire.Page.parseFrom(bytes.toBytes());
            List<ClaimRecord> records = new ArrayList<>();
            proto.getRecordsList().forEach(record -> records.add(record(record)));
            return new ClaimPage(proto.getGeneration(), proto.getVersion(), records);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadPageException(e);
        }
    }

    private static ClaimWire.Record record(ClaimRecord record) {
        ClaimWire.Record.Builder proto =
                ClaimWire.Record.newBuilder()
                        .setKey(WireForms.of(record.key()))
                        .setRun(WireForms.of(record.run()))
                        .setAtMillis(record.atMillis());
        record.outcome().ifPresent(outcome -> proto.setOutcome(WireForms.of(outcome)));
        return proto.build();
    }

    private static ClaimRecord record(ClaimWire.Record proto) {
        Optional<Outcome> outcome =
                proto.hasOutcome()
                        ? Optional.of(WireForms.outcome(proto.getOutcome()))
                        : Optional.empty();
        return new ClaimRecord(
                WireForms.key(proto.getKey()),
                WireForms.run(proto.getRun()),
                proto.getAtMillis(),
                outcome);
    }
}
