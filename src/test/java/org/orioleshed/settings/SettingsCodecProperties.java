package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.BadMessageException;

/** Properties of {@link SettingsCodec}. */
class SettingsCodecProperties {
    private final SettingsCodec codec = new SettingsCodec();

    @Provide
    Arbitrary<SettingsMessage> messages() {
        Arbitrary<Long> number = Arbitraries.longs().greaterOrEqual(0);
        Arbitrary<String> text = Arbitraries.strings().ofMaxLength(20);
        Arbitrary<Integer> size = Arbitraries.integers().greaterOrEqual(0);
        Arbitrary<SettingsEdit> edit =
                Combinators.combine(text, text.optional()).as(SettingsEdit::new);
        Arbitrary<SettingsChange> change =
                Combinators.combine(number, text, text, text, number, edit.list().ofMaxSize(3))
                        .as(SettingsChange::new);
        return Arbitraries.oneOf(
                Combinators.combine(number, text, Arbitraries.of(true, false))
                        .as(SettingsMessage.Advert::new),
                Combinators.combine(number, text, size).as(SettingsMessage.Fetch::new),
                Combinators.combine(number, Arbitraries.longs(), change.list().ofMaxSize(3))
                        .as(SettingsMessage.Delta::new),
                Combinators.combine(number, text, size, size, text)
                        .as(
                                (n, id, offset, total, piece) ->
                                        new SettingsMessage.Chunk(
                                                n, id, offset, total, Payload.of(piece))),
                number.map(SettingsMessage.StatusRequest::new));
    }

    @Property(seed = "1")
    void decodesEncodedMessage(@ForAll("messages") SettingsMessage message)
            throws BadMessageException {
        assertEquals(codec.decode(codec.encode(message)), message);
    }

    @Property(seed = "2")
    void arbitraryBytesDecodeOrThrowBadMessage(@ForAll byte[] bytes) {
        try {
            codec.decode(bytes);
        } catch (BadMessageException e) {
            assertEquals(e.getMessage().isBlank(), false);
        }
    }

    @Property(seed = "3")
    void corruptMessagesDecodeOrThrowBadMessage(
            @ForAll("messages") SettingsMessage message,
            @ForAll List<@net.jqwik.api.constraints.IntRange(max = 255) Integer> noise) {
        byte[] bytes = codec.encode(message);
        for (int i = 0; i < noise.size() && bytes.length > 0; i++) {
            bytes[Math.floorMod(noise.get(i) * 31 + i, bytes.length)] ^= noise.get(i).byteValue();
        }
        arbitraryBytesDecodeOrThrowBadMessage(bytes);
    }
}
