import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const REGIONS = ["north", "south", "west"];

// Requests of a fleet in three regions, by what their routes and workspaces allow.
describe("Regions that a request may use", () => {
    const usable = (ofRoute: readonly string[] | undefined, ofWorkspace: readonly string[] | undefined) =>
        REGIONS.filter((region) => dispatch.mayUseRegion(dispatch.intersectRegions(ofRoute, ofWorkspace), region));

    it("are all unless the route or the workspace names some", () => {
        for (const none of [undefined, []]) {
            chai.expect(usable(none, undefined)).to.deep.equal(REGIONS);
            chai.expect(usable(none, ["west"])).to.deep.equal(["west"]);
            chai.expect(usable(["south", "north"], none)).to.deep.equal(["north", "south"]);
        }
    });

    it("are those that both name, and may be none", () => {
        chai.expect(usable(["north", "south"], ["south", "west"])).to.deep.equal(["south"]);
        chai.expect(usable(["north"], ["south"])).to.deep.equal([]);
    });

    it("never include one that either forbids, nor one that is not known", () => {
        const names = fastCheck.option(fastCheck.array(fastCheck.constantFrom(...REGIONS)), { nil: undefined });
        fastCheck.assert(fastCheck.property(names, names, (ofRoute, ofWorkspace) => {
            const allowed = dispatch.intersectRegions(ofRoute, ofWorkspace);
            const binding = [ofRoute, ofWorkspace].filter((each) => each !== undefined && each.length > 0);
            for (const region of REGIONS) {
                chai.expect(dispatch.mayUseRegion(allowed, region))
                    .to.equal(binding.every((each) => each?.includes(region)));
            }
            chai.expect(dispatch.mayUseRegion(allowed, undefined)).to.equal(binding.length === 0);
        }));
    });
});
