/** Declares the only module of `undici` that is loaded outside tests. */
declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}
