package org.orioleshed.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the generated text, by which callers verify complete answers. */
public class StandinTextTest {
    @Test
    public void answerIsConcatenationOfTokensAtAnyResumeOffset() {
        long seed = StandinText.seed("a prompt");
        String resumed = StandinText.token(seed, 2) + StandinText.token(seed, 3);
        String complete = StandinText.answer("a prompt", 4);
        assertEquals(complete, StandinText.answer("a prompt", 2) + resumed);
    }

    @Test
    public void differentPromptsGiveDifferentAnswers() {
        assertNotEquals(StandinText.answer("one", 8), StandinText.answer("two", 8));
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            {"length=7", 100, 7},
            {"a length=7 b length=9 c", 100, 9},
            {"length=900", 100, 100},
            {"nothing said", 12, 12},
            {"length=0", 12, 1},
            {"wavelength=5", 12, 12},
        };
    }

    @Test(dataProvider = "lengths")
    public void lengthIsReadFromPromptWithinLimits(String prompt, int max, int expected) {
        assertEquals(StandinText.length(prompt, max), expected);
    }

    @Test
    public void tagIsReadFromText() {
        assertEquals(StandinText.tag("x\ntag=s1r2 route=a", "none"), "s1r2");
        assertEquals(StandinText.tag("untagged", "none"), "none");
    }
}
