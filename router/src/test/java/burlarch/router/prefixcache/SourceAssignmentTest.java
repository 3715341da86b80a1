package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which routers read a source, depending on the number of routers and the call limit of the source. */
class SourceAssignmentTest {
    private static final int CALL_LIMIT = 12;

    private final List<String> sources = names("engine-", 98);

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    private static SourceAssignment assignment(String self, int routerCount, List<String> knownRouters) {
        return new SourceAssignment(
                self,
                routerCount,
                knownRouters.stream().filter(name -> !name.equals(self)).toList());
    }

    private static List<String> readers(String source, List<String> routers, int callLimit) {
        return routers.stream()
                .filter(router -> assignment(router, routers.size(), routers).isReader(source, callLimit))
                .toList();
    }

    @Test
    void allRoutersReadASourceThatAcceptsACallOfEach() {
        List<String> routers = names("router-", 10);
        assertThat(assignment("router-0", 10, routers).isShared(CALL_LIMIT)).isFalse();
        assertThat(readers("engine-1", routers, CALL_LIMIT)).hasSize(10);
    }

    @Test
    void singleRouterOfManyReadsEachSource() {
        List<String> routers = names("router-", 66);
        assertThat(assignment("router-0", 66, routers).isShared(CALL_LIMIT)).isTrue();
        for (String source : sources) {
            assertThat(readers(source, routers, CALL_LIMIT)).hasSize(1);
        }
    }

    @Test
    void callLimitAppliesToEachSourceSeparately() {
        List<String> routers = names("router-", 66);
        assertThat(readers("store", routers, 400)).hasSize(66);
        assertThat(readers("store", routers, 1)).hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void failureMovesOnlyTheSourcesOfTheFailedRouter() {
        List<String> routersBefore = names("router-", 66);
        String failedRouter = readers("engine-5", routersBefore, CALL_LIMIT).get(0);
        List<String> routersAfter = new ArrayList<>(routersBefore);
        routersAfter.remove(failedRouter);
        for (String source : sources) {
            String readerBefore = readers(source, routersBefore, CALL_LIMIT).get(0);
            List<String> readersAfter = readers(source, routersAfter, CALL_LIMIT);
            assertThat(readersAfter).hasSize(1);
            if (!readerBefore.equals(failedRouter)) {
                assertThat(readersAfter).containsExactly(readerBefore);
            }
        }
    }

    @Test
    void routersThatKnowNoOthersRespectTheCallLimit() {
        List<String> routers = names("router-", 66);
        int readerCount = 0;
        for (String source : sources) {
            readerCount += (int) routers.stream()
                    .filter(router -> assignment(router, 66, List.of()).isReader(source, CALL_LIMIT))
                    .count();
        }
        assertThat(readerCount / sources.size()).isBetween(7, 12);
    }
}
