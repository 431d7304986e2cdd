package ownership

import _ "hemlockquay/internal/fixedseed"
