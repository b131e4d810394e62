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

/** The protobuf form of heads and pages in the store. */
final class ClaimCodec {
    private ClaimCodec() {}

    /** The value of a key in the store is no head or page. */
    static final class BadPageException extends Exception {
        private static final long serialVersionUID = 1L;

        BadPageException(Exception cause) {
            super("no page of claims: " + cause.getMessage(), cause);
        }
    }

    static Payload encode(ClaimHead head) {
        ClaimWire.Head.Builder form =
                ClaimWire.Head.newBuilder()
                        .setClockMillis(head.clockMillis())
                        .setNextGeneration(head.nextGeneration());
        head.records().values().forEach(record -> form.addRecords(record(record)));
        for (PageRef page : head.pages()) {
            form.addPagesBuilder()
                    .setSlot(page.slot())
                    .setGeneration(page.generation())
                    .setVersion(page.version())
                    .setNewestMillis(page.newestMillis());
        }
        return Payload.of(form.build().toByteArray());
    }

    static Payload encode(ClaimPage page) {
        ClaimWire.Page.Builder form =
                ClaimWire.Page.newBuilder()
                        .setGeneration(page.generation())
                        .setVersion(page.version());
        page.records().forEach(record -> form.addRecords(record(record)));
        return Payload.of(form.build().toByteArray());
    }

    static ClaimHead head(Payload bytes) throws BadPageException {
        try {
            ClaimWire.Head form = ClaimWire.Head.parseFrom(bytes.toBytes());
            Map<RequestKey, ClaimRecord> records = new LinkedHashMap<>();
            for (ClaimWire.Record record : form.getRecordsList()) {
                ClaimRecord read = record(record);
                records.put(read.key(), read);
            }
            List<PageRef> pages = new ArrayList<>();
            for (ClaimWire.PageRef page : form.getPagesList()) {
                pages.add(
                        new PageRef(
                                page.getSlot(),
                                page.getGeneration(),
                                page.getVersion(),
                                page.getNewestMillis()));
            }
            return new ClaimHead(
                    form.getClockMillis(), form.getNextGeneration(), records, List.copyOf(pages));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadPageException(e);
        }
    }

    static ClaimPage page(Payload bytes) throws BadPageException {
        try {
            ClaimWire.Page form = ClaimWire.Page.parseFrom(bytes.toBytes());
            List<ClaimRecord> records = new ArrayList<>();
            form.getRecordsList().forEach(record -> records.add(record(record)));
            return new ClaimPage(form.getGeneration(), form.getVersion(), records);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadPageException(e);
        }
    }

    private static ClaimWire.Record record(ClaimRecord record) {
        ClaimWire.Record.Builder form =
                ClaimWire.Record.newBuilder()
                        .setKey(WireForms.of(record.key()))
                        .setRun(WireForms.of(record.run()))
                        .setAtMillis(record.atMillis());
        record.outcome().ifPresent(outcome -> form.setOutcome(WireForms.of(outcome)));
        return form.build();
    }

    private static ClaimRecord record(ClaimWire.Record form) {
        Optional<Outcome> outcome =
                form.hasOutcome()
                        ? Optional.of(WireForms.outcome(form.getOutcome()))
                        : Optional.empty();
        return new ClaimRecord(
                WireForms.key(form.getKey()),
                WireForms.run(form.getRun()),
                form.getAtMillis(),
                outcome);
    }
}
